#!/bin/sh
# Writes record.txt beside this file: what was sent, answered and run.
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")" || exit 2
: > record.txt || exit 2
exec python3 case.py
