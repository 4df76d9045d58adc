#!/usr/bin/env bash
# Prepares what the scripts of cases 11 to 15 start beside the programs of the
# deploy file. Their stand-ins are Python and need no build; this checks that
# they can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import sys
sys.dont_write_bytecode = True
import harness3
PYTHON
