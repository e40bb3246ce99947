#!/bin/bash
# Builds the stand-ins that review/4 to review/8 start. They are Python scripts of the standard
# library (review/common-2, tests/soak), which need no build: this checks that they can be loaded.
set -e
cd "$(dirname "$0")/.."
export PYTHONDONTWRITEBYTECODE=1
python3 -c 'import sys; assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"'
PYTHONPATH=review/common-2 python3 -c 'import stand'
for case in review/[45678]/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$case"
done
