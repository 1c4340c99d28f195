#!/bin/sh
# Builds the stand-ins of the cases: Python sources without any dependency.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q lib [1-5]
