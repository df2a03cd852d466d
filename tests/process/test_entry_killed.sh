#!/bin/sh
# Guards against: a crash of an entry with open calls stops other entries, makes
# them run non-idempotent work again, or has a caller told "not_run" about work
# that ran (I8, I9).
set -u
cd "$(dirname "$0")/../.."
. tests/process/lib.sh
require start_site
grant desk 24

# resend ROUND ENTRY: submits the work of every identifier again.
resend() {
	for i in $ids; do
		submit_async "$1.$i" "$2" "$KEY_desk" "run_ms=100 id=k$i" \
			-H "Request-Id: k$i" -H "Deadline-Ms: 3000"
	done
	wait_submits
	runs >"$SITE_DIR/runs.$1"
}

# Returns false if an answer of the round is "not_run" although the work has run.
not_run_is_true() {
	for i in $ids; do
		grep -q '"not_run"' "$SITE_DIR/$1.$i" || continue
		! grep -q " k$i " "$SITE_DIR/runs.$1" || {
			echo "k$i: $(cat "$SITE_DIR/$1.$i")" >&2
			return 1
		}
	done
}

started_some() { [ "$(runs | grep -c ' k[0-9]')" -ge 4 ]; }

ids=$(seq 1 40)
start_load load1 1 "$KEY_desk" --rate 30 --seconds 6 --idempotent
start_load load3 3 "$KEY_desk" --rate 30 --seconds 6 --idempotent
for i in $ids; do
	submit_async "first.$i" 2 "$KEY_desk" "run_ms=400 id=k$i" -H "Request-Id: k$i"
done
check "work runs before the entry is killed" wait_for 3 started_some
kill_entry 2
wait_submits
runs >"$SITE_DIR/runs.first"
failed_calls=0
for i in $ids; do
	[ "$(cat "$SITE_DIR/first.$i.rc")" = 0 ] || failed_calls=$((failed_calls + 1))
done
check "calls were open when it was killed: $failed_calls" \
	[ "$failed_calls" -gt 0 ]
check "no caller was told not_run about work that ran" \
	not_run_is_true first
resend second 1
check "through another entry: every not_run is true" not_run_is_true second
resend third 3
check "through another data centre: every not_run is true" not_run_is_true third
check "no work with an identifier ran twice" is_equal \
	"$(runs | grep ' k[0-9]' | awk '{ print $2 }' | sort | uniq -d)" ""
check "the other entry of the data centre answered everything" \
	all_answered load1
check "the other data centre answered everything" all_answered load3
end_test
