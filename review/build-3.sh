#!/usr/bin/env bash
# Builds the programs of the cases 11 to 15 into target/review-3. Their stand-ins are in review/common-3.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/1[1-5]/case.cpp; do
  case=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Ireview/common-3 "$source" -o "target/review-3/case-$case" -pthread
done
