#!/bin/sh
# Guards against: an entry that was paused while a key was withdrawn and its
# data centre was taken out goes on with the old document when it resumes (I4,
# I6). It is paused for longer than the bound of 5 s, so nothing at all may
# start at what was taken away from the moment it resumes.
set -u
cd "$(dirname "$0")/../.."
. tests/process/lib.sh
require start_site
grant errata 16
grant verify 16

answers() { submit "$1" "$2" "run_ms=5 team=$3" | grep -q '"ran"'; }

check "the key is accepted at first" answers 4 "$KEY_errata" errata
check "the data centre works at first" answers 4 "$KEY_verify" verify
# What waits inside the entry while it is paused.
for i in $(seq 1 40); do
	submit_async "before1.$i" 4 "$KEY_errata" "run_ms=300 team=errata" \
		-H "Deadline-Ms: 12000"
	submit_async "before2.$i" 4 "$KEY_verify" "run_ms=300 team=verify" \
		-H "Deadline-Ms: 12000"
done
sleep 0.2
kill -STOP "$(pid_of e4)"
check "the key is withdrawn" \
	quietly ctl --no-wait key withdraw errata --label desk
check "the data centre is taken out" \
	quietly ctl --no-wait data-centre out dc2
changed=$(now_us)
# What waits outside of it, in its sockets.
for i in $(seq 1 20); do
	submit_async "during1.$i" 4 "$KEY_errata" "run_ms=5 team=errata"
	submit_async "during2.$i" 4 "$KEY_verify" "run_ms=5 team=verify"
done
sleep 5.2
kill -CONT "$(pid_of e4)"
for i in $(seq 1 20); do
	submit_async "after1.$i" 4 "$KEY_errata" "run_ms=5 team=errata"
	submit_async "after2.$i" 4 "$KEY_verify" "run_ms=5 team=verify"
	sleep 0.05
done
check "other work is served through the entry again" \
	wait_for 5 answers 4 "$KEY_verify" verify
wait_submits
runs >"$SITE_DIR/runs.all"
late() {
	awk -v bound=$((changed + 5000000)) -v team="$1" -v workers="$2" \
		'$4 > bound && (team == "" || $3 == team) &&
		 (workers == "" || $1 ~ workers)' "$SITE_DIR/runs.all"
}
check "no work of the withdrawn key starts later than 5 s" \
	is_equal "$(late errata '')" ""
check "no work starts in the data centre later than 5 s" \
	is_equal "$(late '' '^w[23]$')" ""
# Forwarded work that came back was put in the queue without a look at its key,
# and waited there until its deadline.
check "no work of the withdrawn key waits until its deadline" is_equal \
	"$(cat "$SITE_DIR"/before1.*[0-9] | grep -c '"deadline"')" 0
check "every caller got an answer" is_equal "$(find "$SITE_DIR" -size 0 \
	-name '*[0-9]' ! -name '*.rc' | wc -l)" 0
check "every later call with the key is refused as not run" is_equal \
	"$(cat "$SITE_DIR"/after1.*[0-9] | grep -o '"outcome":"[a-z_]*"' |
		sort | uniq -c | tr -s ' ')" ' 20 "outcome":"not_run"'

# Work that was forwarded still counted as waiting here, so that the entry kept
# permits which nothing used, and waited for them at SIGTERM.
has_ended() { grep -q event=stopped "$SITE_DIR/$1.log"; }
kill -TERM "$(pid_of e4)"
check "the entry gives its permits back and ends before its drain time" \
	wait_for 10 has_ended e4
end_test
