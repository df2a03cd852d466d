#!/bin/sh
# Guards against: idempotent work is not answered by another worker within its
# deadline when the connections of a worker go silent without a reset. The test
# sends the silent worker no more requests than the retry budget covers: 3 at
# first and one for ten requests. So 60 requests lie between the two faults, each
# of which may cost 4 retries and leave none.
set -u
cd "$(dirname "$0")/../.."
PLACES=dc1
. tests/process/lib.sh
require start_site
grant desk 16

# send NAME NUMBER: submits idempotent work with a deadline of 8 s; prints the
# number of answers from each worker.
send() {
	for i in $(seq 1 "$2"); do
		submit_async "$1.$i" 1 "$KEY_desk" "run_ms=5 id=$1.$i" \
			-H "Request-Id: $1.$i" -H "Idempotent: yes" \
			-H "Deadline-Ms: 8000"
	done
	wait_submits
	cat "$SITE_DIR/$1".*[0-9] |
		grep -o '"worker":"[^"]*"\|"outcome":"[^"]*"' |
		sort | uniq -c | tr -s ' \n' ' '
}

# Work that comes one at a time, or with one permit at hand, must not go to one
# worker alone, which may be silent.
one_at_a_time() {
	for i in $(seq 1 8); do
		submit 1 "$KEY_desk" "run_ms=1" -H "Idempotent: yes"
	done | grep -o '"worker":"[^"]*"' | sort | uniq -c | tr -s ' \n' ' '
}

check "single requests are spread over both workers" is_equal \
	"$(one_at_a_time)" ' 4 "worker":"w-dc1-0" 4 "worker":"w-dc1-1" '
check "both workers answer at first" [ "$(send warm 16 | wc -w)" = 4 ]
# The worker runs the work, but its answers are lost.
control_worker 0 "fault?mode=silent"
check "lost answers: idempotent work is answered by the other worker" \
	is_equal "$(send lost 8)" ' 8 "worker":"w-dc1-1" '
control_worker 0 "fault?mode=none"
check "both workers answer again" is_equal \
	"$(send again 60 | grep -c outcome)" 0
# The kernel accepts connections for the stopped process, but nothing is read.
kill -STOP "$(pid_of w0)"
check "stopped process: idempotent work is answered by the other worker" \
	is_equal "$(send still 8)" ' 8 "worker":"w-dc1-1" '
kill -CONT "$(pid_of w0)"
end_test
