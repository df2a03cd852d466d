#!/bin/sh
# Mutation test: disables one mechanism at a time and checks that a test then
# fails, which is a run of the seeded driver that violates the invariant named
# in mutants.txt, or a unit test. If a mutant is not caught, no test covers the
# mechanism. Prints one line per mutant; exit 1 if one was not caught.
set -u
cd "$(dirname "$0")/../.."

SOAK=build/soak/camphorshed-soak
STEPS=${STEPS:-1000000}
SEEDS=${SEEDS:-"1 2 3 4 5 6 7 8"}
JOBS=${JOBS:-$(($(nproc) / 2))}

# by_driver MUTANT INVARIANT
by_driver() {
	for seed in $SEEDS; do
		line=$($SOAK --seed="$seed" --steps="$STEPS" --mutate="$1" |
			grep '^violation ' | head -n 1)
		what=${line#violation invariant=}
		case $what in
		"$2"*)
			echo "mutant=$1 caught=yes by=${what%% *} seed=$seed"
			return
			;;
		esac
	done
	echo "mutant=$1 caught=no expected=$2 seeds=\"$SEEDS\" steps=$STEPS"
}

# by_test MUTANT TEST: the test fails if the mechanism is disabled.
by_test() {
	if MUTATE=$1 build/soak/unit/"$2" >/dev/null 2>&1; then
		echo "mutant=$1 caught=no test=$2"
	else
		echo "mutant=$1 caught=yes by=$2"
	fi
}

# by_list MUTANT TEST: the test disables its mechanisms itself, and fails if a
# mutant is not caught.
by_list() {
	if grep -q "\"$1\"" tests/unit/"$2".c && build/soak/unit/"$2" >/dev/null 2>&1; then
		echo "mutant=$1 caught=yes by=$2"
	else
		echo "mutant=$1 caught=no test=$2"
	fi
}

if [ "${1:-}" = one ]; then
	case $3 in
	test:*) by_test "$2" "${3#test:}" ;;
	list:*) by_list "$2" "${3#list:}" ;;
	*) by_driver "$2" "$3" ;;
	esac
	exit 0
fi
out=$(sed 's/#.*//' tests/soak/mutants.txt | grep -E "${MUTANTS:-.}" |
	xargs -P "$JOBS" -n 2 "$0" one)
echo "$out" | sort
! echo "$out" | grep -q 'caught=no'
