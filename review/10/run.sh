#!/bin/sh
# 1: the rule was broken; 0: it held; 2: the case could not run.
export PYTHONDONTWRITEBYTECODE=1
exec timeout -k 5 110 python3 "$(dirname "$0")/case.py"
