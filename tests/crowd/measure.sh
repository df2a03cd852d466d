#!/bin/sh
# Prints what crowds cost an entry with default settings: peak memory, processor
# time and the status of an ordinary job beside the crowd.
#
# Usage: measure.sh CONNECTIONS KIND...; B names another build folder, and LIMIT=
# leaves the memory out, for builds without the key.
set -u
cd "$(dirname "$0")/../.."
LIMIT=${LIMIT-memory = 160m}
. tests/crowd/lib.sh
CONNECTIONS_MAX=3000
number=$1
shift

job_status() {
	curl -sS -m 10 -o /dev/null -w '%{http_code}' -d "$JOB" \
		-H "Host: desk.example" -H "Authorization: Bearer errata-key" \
		"http://127.0.0.1:$FRONT/checks/$1" 2>/dev/null
}

# Processor time of the entry, in clock ticks of 10 ms.
ticks() { awk '{ print $14 + $15 }' "/proc/$PID/stat"; }

for kind; do
	rm -f "$DIR/platform" "$DIR/crowd" "$DIR/hold"
	start_entry
	wait_for 60 is_ready || exit 1
	idle=$(memory_kb VmRSS)
	mkfifo "$DIR/hold"
	python3 tests/crowd/crowd.py "$kind" "$FRONT" "$number" \
		/checks/00000000000000ff <"$DIR/hold" >"$DIR/crowd" &
	crowd=$!
	pids="$pids $crowd"
	exec 8>"$DIR/hold"
	wait_for 300 [ -s "$DIR/crowd" ]
	status=$(job_status 00000000000000a2)
	# A refused caller repeats after the time in Retry-After.
	if [ "$status" = 503 ]; then
		sleep 1
		status="$status,$(job_status 00000000000000a2)"
	fi
	held=$(memory_kb VmRSS)
	exec 8>&-
	wait $crowd
	sleep 3
	echo "kind=$kind connections=$number idle_kb=$idle held_kb=$held" \
		"peak_kb=$(memory_kb VmHWM) after_kb=$(memory_kb VmRSS)" \
		"cpu_ms=$(($(ticks) * 10)) job_beside=$status" \
		"job_after=$(job_status 00000000000000a3) crowd=$(tr -d ' ' <"$DIR/crowd")"
	for p in $pids; do kill -9 "$p" 2>/dev/null; wait "$p" 2>/dev/null; done
	pids=
done
