#!/bin/sh
# Guards against: an entry that is stopped by SIGTERM cuts off an open request,
# refuses requests that arrive before the load balancer sees that it isn't
# ready, or loses its long work (I11).
set -u
cd "$(dirname "$0")/../.."
. tests/process/lib.sh
require start_site
grant desk 24
JOB=$(submit 1 "$KEY_desk" "run_ms=8000 steps=80 echo=kept id=long" \
	-H "Work: long" -H "Idempotent: no" |
	sed 's/.*"job":"\([^"]*\)".*/\1/')

job_get() {
	curl -sS -m 5 -H "Authorization: Bearer $KEY_desk" \
		"http://127.0.0.1:$(front_port 2)/v1/jobs/$JOB$1"
}
is_in_state() { job_get "" | grep -q "\"state\":\"$1\""; }
not_ready() { ! entry_ready 1; }

check "long work runs" wait_for 5 is_in_state running
# Sends requests of 0.3 s each until 1 s after the signal.
start_load load 1 "$KEY_desk" --rate 40 --seconds 2 \
	--body "run_ms=300 echo={id} id={id}"
sleep 1
kill -TERM "$(pid_of e1)"
check "readiness becomes false" wait_for 1 not_ready
check "no request was cut off or refused" all_answered load
check "the entry exits with status 0" finish e1
ENTRIES="2 3 4"
CTL_ENTRY=2
check "the long work continues elsewhere and is done" \
	wait_for 15 is_in_state done
check "its result is available" grep -q '"echo":"kept"' <<-END
	$(job_get /result)
END
# It is handed over while it runs, or continues from a checkpoint. A restart from
# its beginning would repeat the time of its first run.
runs | sort -k 4n | awk '$2 == "long" {
	if (!first) first = $5 - $4
	if ($4 < end) overlap = 1
	end = $5
	sum += $5 - $4
} END { printf "%d %d %d\n", sum, 8000000 + first / 2, overlap }' >"$SITE_DIR/long"
read -r sum most overlap <"$SITE_DIR/long"
check "the long work was not started again" is_at_most "$sum" "$most"
check "the long work never ran on two workers at once" is_equal "$overlap" 0
check "no short work ran twice" is_equal \
	"$(runs | awk '$2 != "long" { print $2 }' | sort | uniq -d)" ""
end_test
