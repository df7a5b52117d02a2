#!/usr/bin/env bash
# Builds the stand-ins of the third review. They need nothing but the Python of
# the deployed program, so all that is done is to compile them.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/third/tests
