#!/bin/sh
# Guards against: while the platform hangs, answers late or loses answers,
# entries stop serving, ctl reports a wrong outcome of a change, or a change is
# applied twice.
set -u
cd "$(dirname "$0")/../.."
. tests/process/lib.sh
require start_site
grant desk 16

# change NAME: sets a team of that name. The output goes to NAME.out; returns the
# exit status of ctl.
change() {
	ctl --timeout 7 team set "$1" --share 1 --limit 1 \
		>"$SITE_DIR/$1.out" 2>&1
}

# times_applied NAME: the number of revisions in the history with the change.
times_applied() { ctl history | grep -c "+ team $1 "; }

# report_is_true NAME STATUS: true if what ctl reported agrees with the history. A
# change that ctl did not report as accepted may only be in the history if its
# output says that it may have been accepted.
report_is_true() {
	applied=$(times_applied "$1")
	echo "        $1: exit status $2, applied $applied times:" \
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

# Longer than the timeout of 1 s of the calls of the entries.
control_platform "latency?ms=1500"
change timeout
timeout=$?
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
check "platform back: a change is in force" is_equal $after 0
check "lost answer: the report is true, the change is applied once" \
	report_is_true lost $lost
check "late answer: the report is true, the change is applied once" \
	report_is_true late $late
check "answer after the timeout: the report is true" \
	report_is_true timeout $timeout
check "platform that hangs: the report is true" \
	report_is_true hung $hung
check "platform back: the report is true, the change is applied once" \
	report_is_true after $after
check "entry 1 answered every request meanwhile" all_answered load1
check "entry 3 answered every request meanwhile" all_answered load3
check "no work ran twice" is_at_most "$(runs_max)" 1
end_test
