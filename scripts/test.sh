#!/usr/bin/env bash
# Builds and runs all tests but those that KNOWN-RED.txt lists as
# "gtest NAME: ...".
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh "${1:-build}"
KNOWN_RED=$(sed -nE 's/^gtest ([A-Za-z0-9_.]+):.*/\1/p' KNOWN-RED.txt | paste -sd:)
if [ -n "$KNOWN_RED" ]; then
  export GTEST_FILTER="-$KNOWN_RED"
  echo "not run, known red: $KNOWN_RED"
fi
ctest --test-dir "${1:-build}" --output-on-failure -j 4
