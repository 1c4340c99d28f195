#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: Python sources without any
# dependency. They use the bed of the first review.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q lib lib2 [6-9] 10
