#!/bin/sh
# Guards against an entry on a shared platform that loses accepted work, runs a
# task twice or reports a wrong state when processes die or hang and connections
# are cut, delayed or reset. Uses real processes and sockets. Runs the seeds
# that failed once and two others.
set -u
cd "$(dirname "$0")/../.."
make -s build/rel/camphorshed || exit 1
failures=0
for seed in $(sed -n 's/^\([0-9][0-9]*\) .*/\1/p' tests/soak/node_seeds.txt) 1 2; do
	timeout 120 python3 tests/soak/node_soak.py --seed="$seed" --seconds=8 ||
		failures=$((failures + 1))
done
exit $((failures > 0))
