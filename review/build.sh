#!/bin/sh
# Builds the stand-ins of the review cases into review/build. Needs what the deploy file lists under packages.
set -eu
cd "$(dirname "$0")"
mkdir -p build
for source in [1-5]/case.cpp; do
    number=${source%/case.cpp}
    ${CXX:-g++} -std=c++20 -O1 -Wall -pthread "$source" -o "build/case$number"
done
