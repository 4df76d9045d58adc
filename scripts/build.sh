#!/usr/bin/env bash
# Installs missing packages and builds into build/ or the given folder.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh >&2
cmake -S . -B "${1:-build}" >&2
cmake --build "${1:-build}" -j "$(nproc)" >&2
