#!/bin/sh
# Exits with 1 if too few broken streams go on, with 0 if enough do, and
# with 2 if the case could not be run. TROUBLE=0 loses no answers.
cd "$(dirname "$0")" || exit 2
exec python3 case.py
