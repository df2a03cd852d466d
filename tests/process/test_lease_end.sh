#!/bin/sh
# Guards against: work that lasts beyond its deadline is answered with the
# worker's "failed", as the lease at the worker ends a moment before the entry's
# own deadline.
set -u
cd "$(dirname "$0")/../.."
PLACES=dc1
. tests/process/lib.sh
require start_site
grant desk 16

# send IDEMPOTENT: submits work that lasts too long, 8 at a time; prints the
# number of answers of each kind.
send() {
	for i in $(seq 1 160); do
		submit_async "lease.$i" 1 "$KEY_desk" "run_ms=2000" \
			-H "Idempotent: $1" -H "Deadline-Ms: $((40 + i % 30))"
		[ $((i % 8)) != 0 ] || wait_submits
	done
	wait_submits
	cat "$SITE_DIR"/lease.*[0-9] | grep -o '"error":"[^"]*"' | sort |
		uniq -c | tr -s ' \n' ' '
}

check "non-idempotent work ends at its deadline" \
	is_equal "$(send no)" ' 160 "error":"deadline" '
check "idempotent work ends at its deadline" \
	is_equal "$(send yes)" ' 160 "error":"deadline" '
end_test
