#!/bin/sh
# Guards against: a thread that spins or wakes too often while it waits. The
# bound is the target of the design, 0.5 percent of a core for an idle entry.
set -u
cd "$(dirname "$0")/../.."
. tests/process/lib.sh
require start_site
grant desk 16
submit 1 "$KEY_desk" "run_ms=5" >/dev/null
sleep 2

# Clock ticks of 10 ms that the process has used: fields 14 and 15, counted
# after the name, which may hold spaces.
ticks() {
	sed 's/.*) //' "/proc/$(pid_of "e$1")/stat" |
		awk '{ print $12 + $13 }'
}
# measure: prints a line for each entry; false if one is above the bound.
measure() {
	for n in $ENTRIES; do ticks "$n" >"$SITE_DIR/ticks.$n"; done
	sleep 5
	is_idle=true
	for n in $ENTRIES; do
		used=$(($(ticks "$n") - $(cat "$SITE_DIR/ticks.$n")))
		echo "entry=e$n cpu_percent=$(echo $used "$(getconf CLK_TCK)" |
			awk '{ printf "%.1f", 100 * $1 / $2 / 5 }')"
		[ $((used * 1000)) -le $(($(getconf CLK_TCK) * 5 * 5)) ] ||
			is_idle=false
	done
	$is_idle
}
measure_twice() { measure || measure; }
check "an idle entry uses at most 0.5 percent of a core" measure_twice
end_test
