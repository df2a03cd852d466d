#!/bin/sh
# Guards against: an entry on a shared platform accepts work that it has not
# stored, loses accepted work when an entry dies, runs a task twice, answers a
# wrong state, or does not stop gracefully. Runs entries as processes, with a
# stand-in of the platform.
set -u
cd "$(dirname "$0")/../.."
BIN=${B:-build/rel}/camphorshed
DIR=$(mktemp -d)
pids=
failures=0

cleanup() {
	for p in $pids; do kill -9 "$p" 2>/dev/null; done
	rm -rf "$DIR"
}
trap cleanup EXIT
trap 'exit 1' INT TERM HUP

check() {
	text=$1
	shift
	if "$@"; then
		echo "ok      $text"
	else
		echo "FAILED  $text"
		failures=$((failures + 1))
	fi
}

free_port() {
	python3 -c 'import socket; s = socket.socket(); s.bind(("127.0.0.1", 0)); print(s.getsockname()[1])'
}

python3 tests/process/shared_platform.py >"$DIR/platform" &
pids=$!
n=0
until [ -s "$DIR/platform" ] || [ $n -ge 100 ]; do sleep 0.05; n=$((n + 1)); done
PLATFORM=$(sed 's/.*"address": "\([^"]*\)".*/\1/' "$DIR/platform")

# start_node N: starts an entry; sets FRONT_N, READY_N, METRICS_N and PID_N. A
# restarted entry keeps its ports.
start_node() {
	eval "front=\${FRONT_$1:-$(free_port)} ready=\${READY_$1:-$(free_port)} metrics=\${METRICS_$1:-$(free_port)} relay=\${RELAY_$1:-$(free_port)}"
	cat >"$DIR/node$1.ini" <<-END
	[node]
	name = node$1
	data_centre = dc0
	[front]
	listen = 127.0.0.1:$front
	readiness = 127.0.0.1:$ready
	metrics = 127.0.0.1:$metrics
	[store]
	address = $PLATFORM
	[hosts]
	address = $PLATFORM
	[relay]
	listen = 127.0.0.1:$relay
	direct_max = 0
	END
	"$BIN" node -c "$DIR/node$1.ini" >>"$DIR/node$1.log" 2>&1 &
	eval "FRONT_$1=$front READY_$1=$ready METRICS_$1=$metrics RELAY_$1=$relay PID_$1=$!"
	pids="$pids $!"
}

# call N METHOD PATH [CURL OPTIONS]: prints "STATUS BODY".
call() {
	eval "call_port=\$FRONT_$1"
	call_method=$2
	call_path=$3
	shift 3
	curl -sS -m 5 -X "$call_method" -H "Host: desk.example" \
		-w '\n%{http_code}' "$@" "http://127.0.0.1:$call_port$call_path" \
		2>/dev/null | awk 'NR == 1 { body = $0 } END { print $0, body }'
}
KEY="Authorization: Bearer errata-key"
JOB='{"spec":"work","steps":[{"count":3,"cpu":500,"memMb":10,"estimatedMs":200},{"count":2,"cpu":500,"memMb":10,"estimatedMs":200,"after":[0]}]}'
submit() { call "$1" POST "/checks/$2" -H "$KEY" -d "$JOB"; }
state() { call "$1" GET "/checks/$2" -H "$KEY"; }
is_ready() {
	eval "ready_port=\$READY_$1"
	curl -fsS -m 2 -o /dev/null "http://127.0.0.1:$ready_port/-/readiness" 2>/dev/null
}
control() { curl -fsS -m 5 "http://$PLATFORM/control/$1"; }
owner() { control "value?key=camphorshed/control/owner" | sed 's/^"\([a-z0-9]*\) .*/\1/'; }
# wait_for SECONDS COMMAND...: retries until the command succeeds.
wait_for() {
	wait_end=$(($(date +%s) + $1))
	shift
	until "$@"; do
		[ "$(date +%s)" -lt "$wait_end" ] || return 1
		sleep 0.1
	done
}
starts_with() { case $1 in "$2"*) true ;; *) echo "got \"$1\", expected \"$2\"" >&2; false ;; esac; }
is_done() { case $(state "$1" "$2") in *'"done"'*) true ;; *) false ;; esac; }
starts_of() { control starts | tr ',' '\n' | grep -c "$1"; }

for i in 1 2 3; do start_node $i; done
for i in 1 2 3; do check "entry $i becomes ready" wait_for 10 is_ready $i; done
has_owner() { [ "$(owner)" != null ]; }
check "one entry becomes the owner" wait_for 10 has_owner
has_carriers() { [ "$(grep -h "event=relay_up" "$DIR"/node?.log | grep -c role=carrier)" = 2 ]; }
check "the other entries are ready to carry its orders" wait_for 5 has_carriers

check "a job is accepted" starts_with "$(submit 1 00000000000000a1)" 200
check "the same job again is accepted" starts_with "$(submit 2 00000000000000a1)" 200
check "it is done, as another entry reports" wait_for 10 is_done 3 00000000000000a1
check "each of its tasks ran once" [ "$(starts_of 00000000000000a1)" = 5 ]
check "a request that arrives in two parts is parsed as one" python3 \
	tests/process/split_request.py "$FRONT_1" /checks/00000000000000a1
check "an unknown job is not known" starts_with "$(state 2 00000000000000ff)" 410
check "a wrong key is refused" starts_with "$(call 1 GET /checks/00000000000000a1 -H 'Authorization: Bearer x')" 401
check "an unknown queue is not found" starts_with "$(call 1 GET /other/ -H "$KEY")" 404
check "a job whose step depends on itself is refused" starts_with "$(call 1 POST /checks/00000000000000a2 -H "$KEY" -d '{"steps":[{"count":1,"after":[0]}]}')" 400
check "a queue lists its pending jobs" starts_with "$(call 2 GET /checks/ -H "$KEY")" '200 {"pending":'
check "a job can be cancelled" starts_with "$(submit 1 00000000000000a3; call 2 DELETE /checks/00000000000000a3 -H "$KEY")" 200

starts_with "$(submit 1 00000000000000b1)" 200 || failures=$((failures + 1))
first=$(owner | tr -dc 0-9)
eval "kill -9 \$PID_$first"
other=$((first % 3 + 1))
check "accepted work is done after the owner is killed" wait_for 15 is_done $other 00000000000000b1
check "none of its tasks ran twice" [ "$(starts_of 00000000000000b1)" = 5 ]

control "down?is=1" >/dev/null
check "nothing is accepted while the store is down" starts_with "$(submit $other 00000000000000b2)" 503
control "down?is=0" >/dev/null
check "work is accepted when the store is back" wait_for 10 starts_with "$(sleep 1; submit $other 00000000000000b3)" 200
check "this work is done" wait_for 15 is_done $other 00000000000000b3
check "the refused work has not run" [ "$(starts_of 00000000000000b2)" = 0 ]

start_node "$first"
check "a restarted entry becomes ready" wait_for 10 is_ready "$first"
eval "metrics_port=\$METRICS_$first"
check "metrics are served" sh -c "curl -fsS -m 2 http://127.0.0.1:$metrics_port/metrics | grep -q camphorshed_store_calls_total"
served=$(for i in 1 2 3; do eval "curl -fsS -m 2 http://127.0.0.1:\$METRICS_$i/metrics"; done | sed -n 's/^# TYPE \([a-z_]*\) .*/\1/p' | sort -u)
is_listed() { for name in $served; do grep -q "\`$name\`" docs/OPERATIONS.md || return 1; done; }
check "docs/OPERATIONS.md lists every metric that is served" is_listed
check "request latencies are served" starts_with "$(echo "$served" | grep request_seconds)" camphorshed_request_seconds
last=$(owner | tr -dc 0-9)
eval "kill -TERM \$PID_$last; wait \$PID_$last"
check "the owner exits with status 0 on SIGTERM" [ $? -eq 0 ]
owner_changed() { [ "$(owner)" != "node$last" ] && has_owner; }
check "another entry becomes the owner" wait_for 5 owner_changed
check "the stopped owner logged its start and stop" sh -c "grep -q 'event=started' $DIR/node$last.log && grep -q 'event=stopped' $DIR/node$last.log"
check "explain reconstructs the history of a job from the logs" sh -c "$BIN explain 00000000000000a1 $DIR/node*.log | grep -q 'event=job_end'"
check "explain reports an unknown job" sh -c "! $BIN explain 00000000000000fe $DIR/node*.log 2>/dev/null"
exit $((failures > 0))
