#!/usr/bin/env bash
# Builds the stand-ins of cases 4 to 6: Python modules, which need no library.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q second/tests
