#!/usr/bin/env bash
# Builds the cases 6 to 10 with the stand-ins of the project's own tests, into target/review-2/. Run it after the
# build command of deploy/system.toml, whose libraries and program it uses.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wno-mismatched-new-delete -DBOOST_ALL_NO_LIB -DFMT_HEADER_ONLY=1
  '-DNODE_PROGRAM="target/cassiaspan-node"'
  -Iplatform -Iplatform/test -Itest/support -Ireview/common-2 -Ipackages/proxy -Ipackages/h2 -Ipackages/policy
  -isystem packages/schema/generated)
libraries=(target/libcassiaspan_platform_adapter.a target/libcassiaspan_proxy.a target/libcassiaspan_gossip.a
  -lprotobuf-lite target/libcassiaspan_h2.a -lnghttp2 target/libcassiaspan_policy.a target/libcassiaspan_schema.a
  -lprotobuf -lcrypto -lxxhash -lpthread)
objects=()
for source in platform/test/node_harness.cpp platform/test/platform_standin.cpp platform/test/target_link.cpp \
  platform/test/process_memory.cpp test/support/process.cpp; do
  object=$out/$(basename "$source" .cpp).o
  g++ "${flags[@]}" -c "$source" -o "$object" &
  objects+=("$object")
done
wait
for folder in review/6 review/7 review/8 review/9 review/10; do
  if [ -f "$folder/case.cpp" ]; then
    g++ "${flags[@]}" "$folder/case.cpp" "${objects[@]}" "${libraries[@]}" -o "$out/case-$(basename "$folder")"
  fi
done
# What was seen and is no case: see review/REPORT-2.md.
for name in refusal stalled; do
  g++ "${flags[@]}" "review/found/$name.cpp" "${objects[@]}" "${libraries[@]}" -o "$out/found-$name"
done
