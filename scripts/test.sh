#!/usr/bin/env bash
# Builds and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh "${1:-build}"
ctest --test-dir "${1:-build}" --output-on-failure -j 4
