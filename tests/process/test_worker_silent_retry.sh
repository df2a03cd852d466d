#!/bin/sh
# Guards against: idempotent work is not answered by another worker within its
# deadline when the connections of a worker go silent without a reset. The test
# sends the silent worker no more requests than the retry budget covers.
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

check "both workers answer at first" [ "$(send warm 16 | wc -w)" = 4 ]
# The worker runs the work, but its answers are lost.
control_worker 0 "fault?mode=silent"
check "lost answers: idempotent work is answered by the other worker" \
	is_equal "$(send lost 8)" ' 8 "worker":"w-dc1-1" '
control_worker 0 "fault?mode=none"
check "both workers answer again" is_equal \
	"$(send again 16 | grep -c outcome)" 0
# The kernel accepts connections for the stopped process, but nothing is read.
kill -STOP "$(pid_of w0)"
check "stopped process: idempotent work is answered by the other worker" \
	is_equal "$(send still 8)" ' 8 "worker":"w-dc1-1" '
kill -CONT "$(pid_of w0)"
end_test
