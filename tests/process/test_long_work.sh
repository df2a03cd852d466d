#!/bin/sh
# Guards against: long work is lost with its entry or its data centre, runs on
# two workers at once, restarts from its beginning although it has a checkpoint,
# or runs again although it is not idempotent (I9).
set -u
cd "$(dirname "$0")/../.."
. tests/process/lib.sh
require start_site
grant desk 16

# submit_long ENTRY ID IDEMPOTENT RUN_MS: prints the identifier of the job.
submit_long() {
	submit "$1" "$KEY_desk" "run_ms=$4 steps=100 echo=$2 id=$2" \
		-H "Work: long" -H "Idempotent: $3" |
		sed 's/.*"job":"\([^"]*\)".*/\1/'
}
job_get() {
	curl -sS -m 5 -H "Authorization: Bearer $KEY_desk" \
		"http://127.0.0.1:$(front_port "${2:-1}")/v1/jobs/$1"
}
is_in_state() { job_get "$1" | grep -q "\"state\":\"$2\""; }
# overlaps ID: the number of runs that began before an earlier one ended.
overlaps() {
	runs | sort -k 4n | awk -v id="$1" '$2 == id {
		if (n++ && (!end || $4 < end)) count++
		end = $5
	} END { print count + 0 }'
}

MOVED=$(submit_long 3 moved no 6000)
KILLED=$(submit_long 2 killed yes 7000)
ONCE=$(submit_long 2 once no 7000)
check "work that will move runs" wait_for 5 is_in_state "$MOVED" running
check "idempotent work runs" wait_for 5 is_in_state "$KILLED" running
check "non-idempotent work runs" wait_for 5 is_in_state "$ONCE" running
sleep 2

kill_entry 2
check "its data centre is taken out" \
	quietly ctl --no-wait data-centre out dc2
# A new incarnation proves to the other entries that the old one is dead.
ENTRIES="$ENTRIES 2"
start_entry 2

check "data centre out: the work is done" wait_for 12 is_in_state "$MOVED" done
check "data centre out: the result is available" grep -q '"echo":"moved"' <<-END
	$(job_get "$MOVED/result")
END
runs | sort -k 4n | awk '$2 == "moved" { print $1, $5 - $4 }' \
	>"$SITE_DIR/moved"
# Workers 0 and 1 are in dc1, 2 and 3 in dc2: 21 means from dc2 to dc1.
check "data centre out: it continued in the other one" is_equal \
	"$(cut -c 2 "$SITE_DIR/moved" | tr 23 22 | tr 01 11 | tr -d '\n')" 21
# A restart from its beginning would repeat the time of its first run.
check "data centre out: it continued from its checkpoint" awk '
	NR == 1 { first = $2 }
	{ sum += $2 }
	END { exit sum > 6000000 + first / 2 }' "$SITE_DIR/moved"
check "data centre out: it never ran on two workers at once" \
	is_equal "$(overlaps moved)" 0

check "entry killed: idempotent work is adopted and done" \
	wait_for 30 is_in_state "$KILLED" done
check "entry killed: two entries return the result" \
	grep -q '"echo":"killed".*"echo":"killed"' <<-END
	$(job_get "$KILLED/result" 1; job_get "$KILLED/result" 2)
END
check "entry killed: it never ran on two workers at once" \
	is_equal "$(overlaps killed)" 0
check "entry killed: non-idempotent work is reported as unknown" \
	wait_for 5 is_in_state "$ONCE" unknown
check "entry killed: non-idempotent work ran once" is_equal "$(runs_of once)" 1
end_test
