#!/usr/bin/env bash
# Checks what the cases need: the programs of the deploy file and Python 3.
# The stand-ins are in harness.py, so there is nothing to compile.
set -euo pipefail
cd "$(dirname "$0")/.."
test -x target/bin/cyclamenwalk-site || scripts/deploybuild.sh target
python3 -m py_compile review/harness.py review/*/case.py
rm -rf review/__pycache__ review/*/__pycache__
