#!/bin/sh
# Prepares the stand-ins of review/6 to review/10. They are Python programs of
# this folder that use the standard library only, so this compiles them as a check.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 9)'
export PYTHONDONTWRITEBYTECODE=1
for f in lib2/*.py [6-9]/*.py 10/*.py; do
	[ -f "$f" ] || continue
	python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$f"
done
echo "stand-ins checked"
