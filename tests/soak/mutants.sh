#!/bin/sh
# Runs the seeded driver with each mechanism turned off, and checks that the
# run fails: a mutant that survives all its seeds means that the mechanism is
# not proved. Prints one line a mutant; exit 1 if one was not caught.
set -u
cd "$(dirname "$0")/../.."

SOAK=build/soak/camphorshed-soak
STEPS=${STEPS:-600000}
SEEDS=${SEEDS:-"1 2 3 4 5 6 7 8"}
JOBS=${JOBS:-$(($(nproc) / 2))}
MUTANTS=${MUTANTS:-$(sed 's/#.*//' tests/soak/mutants.txt)}

run_one() {
	for seed in $SEEDS; do
		line=$($SOAK --seed="$seed" --steps="$STEPS" --mutate="$1" |
			grep '^violation ' | head -n 1)
		if [ -n "$line" ]; then
			what=${line#violation invariant=}
			echo "mutant=$1 caught=yes seed=$seed by=${what%% *}"
			return
		fi
	done
	echo "mutant=$1 caught=no seeds=\"$SEEDS\" steps=$STEPS"
}

if [ "${1:-}" = one ]; then
	run_one "$2"
	exit 0
fi
out=$(printf '%s\n' $MUTANTS | xargs -P "$JOBS" -n 1 "$0" one)
echo "$out" | sort
! echo "$out" | grep -q 'caught=no'
