#!/bin/sh
# Guards against: an entry on a shared platform that breaks a promise under
# faults which overlap: a task that runs twice or out of order, accepted work
# that is lost, a limit or a budget that is passed, a false state. Plays the
# seeds that failed once, and a row of others.
set -u
cd "$(dirname "$0")/../.."
make -s build/rel/camphorshed-site-soak || exit 1
failures=0
for seed in $(sed -n 's/^\([0-9][0-9]*\) .*/\1/p' tests/world/seeds.txt); do
	build/rel/camphorshed-site-soak --seed="$seed" --days=1 ||
		failures=$((failures + 1))
done
build/rel/camphorshed-site-soak --seed=1000 --days=120 ||
	failures=$((failures + 1))
# Seeds from 2000 on have hosts that move and a slow store.
build/rel/camphorshed-site-soak --seed=2000 --days=120 ||
	failures=$((failures + 1))
exit $((failures > 0))
