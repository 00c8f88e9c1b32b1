#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
# With TROUBLE=0 no worker is slow.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
cd "$(dirname "$0")" && exec python3 run.py
