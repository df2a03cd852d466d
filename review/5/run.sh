#!/bin/sh
# See claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || exit 2
exec env PYTHONDONTWRITEBYTECODE=1 python3 ./case.py
