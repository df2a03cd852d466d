#!/bin/sh
# Guards against: after a crash of the entry that holds the watch of its data
# centre, a change takes more than 7 s to be in force at the other entries, or a
# withdrawn key is accepted there for more than 5 s (I4, I12).
set -u
cd "$(dirname "$0")/../.."
. tests/process/lib.sh
require start_site
grant errata 16
grant verify 16

# in_time SINCE LIMIT_S: true if no more than LIMIT_S seconds passed since SINCE.
in_time() {
	took=$(($(now_us) - $1))
	echo "        took_ms=$((took / 1000))"
	is_at_most "$took" $(($2 * 1000000))
}
# wait_for stops at the first refusal, so no request follows it at that entry.
is_refused() {
	submit "$1" "$2" "run_ms=1" | grep -q '"key_not_accepted"'
}
holds_watch() { grep -q event=watch_claimed "$SITE_DIR/e$1.log"; }

# kill_holder N CTL_ENTRY TEAM KEY: kills entry N and withdraws the key of TEAM
# through CTL_ENTRY.
kill_holder() {
	check "entry $1 holds the watch" holds_watch "$1"
	old_revision=$(revision "$2")
	kill_entry "$1"
	CTL_ENTRY=$2
	since=$(now_us)
	check "the key is withdrawn" \
		quietly ctl --no-wait key withdraw "$3" --label desk
	for n in $ENTRIES; do
		check "the key is refused at entry $n" \
			wait_for 5 is_refused "$n" "$4"
	done
	check "the key is refused at all entries within 5 s" in_time "$since" 5
	for n in $ENTRIES; do
		check "the change is in force at entry $n" \
			wait_for 7 has_revision "$n" $((old_revision + 1))
	done
	check "the change is in force at all entries within 7 s" in_time "$since" 7
}

kill_holder 1 4 errata "$KEY_errata"
kill_holder 3 2 verify "$KEY_verify"
end_test
