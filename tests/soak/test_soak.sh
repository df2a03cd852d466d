#!/bin/sh
# Short runs of the seeded driver. Guards against a violated invariant, and
# against runs of one seed that differ, since a failure must be reproducible.
set -eu
cd "$(dirname "$0")/../.."
make -s -j"$(nproc)" VARIANT=soak build/soak/camphorshed-soak

run() {
	build/soak/camphorshed-soak --seed="$1" --steps=300000
}
first=$(run 1)
echo "$first" | tail -n 2
echo "$first" | grep -qx 'violations=0'
run 2 | grep -qx 'violations=0'
[ "$first" = "$(run 1)" ] || { echo "two runs of seed 1 differ"; exit 1; }
