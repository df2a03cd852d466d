#!/bin/sh
# Guards against: an entry that was paused while a key was withdrawn and its data
# centre was taken out uses the old document when it resumes (I4, I6). The pause
# exceeds the limit of 5 s for both changes, so from then on no work of that key
# or in that data centre may start.
set -u
cd "$(dirname "$0")/../.."
. tests/process/lib.sh
require start_site
grant errata 16
grant verify 16

answers() { submit "$1" "$2" "run_ms=5 team=$3" | grep -q '"ran"'; }

check "the key is accepted at first" answers 4 "$KEY_errata" errata
check "the data centre works at first" answers 4 "$KEY_verify" verify
# Requests that wait in the queues of the entry during the pause.
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
# Requests that wait in its sockets.
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
check "the entry serves other work again" \
	wait_for 5 answers 4 "$KEY_verify" verify
wait_submits
runs >"$SITE_DIR/runs.all"
# late TEAM WORKERS: prints the runs that started more than 5 s after the changes,
# of one team and on workers that match the pattern; empty: all.
late() {
	awk -v bound=$((changed + 5000000)) -v team="$1" -v workers="$2" \
		'$4 > bound && (team == "" || $3 == team) &&
		 (workers == "" || $1 ~ workers)' "$SITE_DIR/runs.all"
}
check "no work of the withdrawn key starts after 5 s" \
	is_equal "$(late errata '')" ""
# Workers 2 and 3 are in dc2.
check "no work starts in the data centre after 5 s" \
	is_equal "$(late '' '^w[23]$')" ""
# Forwarded work that came back was once queued without a check of its key, and
# waited until its deadline.
check "no work of the withdrawn key waits until its deadline" is_equal \
	"$(cat "$SITE_DIR"/before1.*[0-9] | grep -c '"deadline"')" 0
check "every caller got an answer" is_equal "$(find "$SITE_DIR" -size 0 \
	-name '*[0-9]' ! -name '*.rc' | wc -l)" 0
check "every later call with the key is refused as not_run" is_equal \
	"$(cat "$SITE_DIR"/after1.*[0-9] | grep -o '"outcome":"[a-z_]*"' |
		sort | uniq -c | tr -s ' ')" ' 20 "outcome":"not_run"'

# Forwarded work was once still counted as queued, so that the entry held unused
# permits and waited for them on SIGTERM.
has_ended() { grep -q event=stopped "$SITE_DIR/$1.log"; }
kill -TERM "$(pid_of e4)"
check "the entry returns its permits and exits before its drain time" \
	wait_for 10 has_ended e4
end_test
