#!/usr/bin/env bash
# Installs what is missing and builds into build/ (or the folder given).
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh >&2
cmake -S . -B "${1:-build}" >&2
cmake --build "${1:-build}" -j "$(nproc)" >&2
