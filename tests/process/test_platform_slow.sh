#!/bin/sh
# Guards against: a platform that hangs, answers late or loses answers stops
# the serving of work, has ctl report as accepted what was not (or the other
# way round), or has one change applied twice.
set -u
cd "$(dirname "$0")/../.."
. tests/process/lib.sh
require start_site
grant desk 16

# change NAME: a change with its own mark; output in NAME.out. Its exit code.
change() {
	ctl --timeout 7 team set "$1" --share 1 --limit 1 \
		>"$SITE_DIR/$1.out" 2>&1
}

# How many revisions of the history have made the change.
times_applied() { ctl history | grep -c "+ team $1 "; }

# What ctl said of a change agrees with what came of it. ctl may only leave it
# open ("may have been accepted") if it says so.
is_truthful() {
	applied=$(times_applied "$1")
	echo "        $1: exit code $2, applied $applied times:" \
		"$(head -n 1 "$SITE_DIR/$1.out")"
	case $2 in
	0 | 3) is_equal "$applied" 1 ;;
	*)
		is_at_most "$applied" 1 || return 1
		[ "$applied" = 0 ] ||
			grep -qi "may have been\|unknown" "$SITE_DIR/$1.out"
		;;
	esac
}

start_load load1 1 "$KEY_desk" --rate 30 --seconds 14
start_load load3 3 "$KEY_desk" --rate 30 --seconds 14

control_platform "lose?writes=1"
change lost
lost=$?
check "an answer lost after the write: the change is reported as accepted" \
	is_equal $lost 0

control_platform "latency?ms=300"
change late
late=$?
check "answers after 300 ms: the change is in force" is_equal $late 0

# Later than the 1 s after which the entries give up on a call.
control_platform "latency?ms=1500"
change tardy
tardy=$?
control_platform "latency?ms=0"
sleep 1

control_platform "outage?mode=hang"
change hung
hung=$?
check "a platform that hangs: no change is reported as accepted" \
	[ $hung -ne 0 ]
control_platform "outage?mode=off"

change after
after=$?
check "the platform is back: a change is in force" is_equal $after 0
check "lost answer: told truthfully, applied once" is_truthful lost $lost
check "late answer: told truthfully, applied once" is_truthful late $late
check "answer after the time limit: told truthfully" is_truthful tardy $tardy
check "hanging: told truthfully" is_truthful hung $hung
check "afterwards: told truthfully, applied once" is_truthful after $after
check "entry 1 served everything meanwhile" all_answered load1
check "entry 3 served everything meanwhile" all_answered load3
check "no work ran twice" is_at_most "$(runs_max)" 1
end_test
