#!/bin/sh
# Prepares the stand-ins of review/11 to review/15. They are Python programs of
# this folder that use the standard library only, so this compiles them as a check.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 9)'
export PYTHONDONTWRITEBYTECODE=1
for f in lib3/*.py 1[1-5]/*.py; do
	[ -f "$f" ] || continue
	python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$f"
done
echo "stand-ins checked"
