#!/bin/sh
# Checks the stand-ins of the cases. They are Python programs, so nothing has
# to be compiled. The project's own stand-ins are not used.
set -eu
cd "$(dirname "$0")"
for f in lib/*.py */case.py; do
	python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$f"
done
