#!/usr/bin/env bash
# Builds the programs that run on the platform, without tests, into FOLDER.
set -euo pipefail
cd "$(dirname "$0")/.."
FOLDER=$1
scripts/prometheusheaders.sh "$FOLDER/cache"
cmake -S . -B "$FOLDER" -DCMAKE_BUILD_TYPE=Release -DCW_TESTS=OFF \
  -DCW_PROMETHEUS_FOLDER="$PWD/$FOLDER/cache/prometheus"
cmake --build "$FOLDER" -j "$(nproc)" --target cyclamenwalk-site
