#!/usr/bin/env bash
# Runs the formatter, the shape checks and the linter. The linter needs a
# configured build folder.
set -euo pipefail
cd "$(dirname "$0")/.."
BUILD="${1:-build}"
SOURCES=$(git ls-files -co --exclude-standard '*.cpp')
HEADERS=$(git ls-files -co --exclude-standard '*.h')
echo "== formatter"
echo "$SOURCES" "$HEADERS" | xargs clang-format --dry-run --Werror
echo "== shape"
python3 scripts/checkshape.py
echo "== linter"
# One process per file, so that every failing file shows all its findings.
echo "$SOURCES" | xargs -P "$(nproc)" -I{} \
  clang-tidy -p "$BUILD" --quiet {} 2>/dev/null
echo "checks: ok"
