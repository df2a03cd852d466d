#!/bin/sh
# Guards against: a thread that spins or wakes too often while it waits. The
# design sets the limit, 0.5 percent of a core for an idle entry.
set -u
cd "$(dirname "$0")/../.."
. tests/process/lib.sh
require start_site
grant desk 16
submit 1 "$KEY_desk" "run_ms=5" >/dev/null
sleep 2

# ticks N: the processor time of entry N in clock ticks, fields 14 and 15 of its
# stat file. The name in field 2 may hold spaces and is cut off first.
ticks() {
	sed 's/.*) //' "/proc/$(pid_of "e$1")/stat" |
		awk '{ print $12 + $13 }'
}
# Prints a line for each entry. Returns false if one is above the limit.
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
