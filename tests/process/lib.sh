# Functions of the process tests, which source this file from the root of the
# tree: checks, and requests to the entries and the stand-ins of a site.

. scripts/site.sh
trap abort_site EXIT
trap 'exit 1' INT TERM HUP
failures=0

# check TEXT COMMAND...: runs the command, prints one line and counts a failure.
check() {
	check_text=$1
	shift
	if "$@"; then
		echo "ok      $check_text"
	else
		echo "FAILED  $check_text"
		failures=$((failures + 1))
	fi
}

quietly() { "$@" >/dev/null; }

is_equal() {
	[ "$1" = "$2" ] || { echo "got \"$1\", expected \"$2\"" >&2; return 1; }
}

is_at_most() {
	[ "$1" -le "$2" ] || { echo "got $1, limit $2" >&2; return 1; }
}

is_at_least() {
	[ "$1" -ge "$2" ] || { echo "got $1, minimum $2" >&2; return 1; }
}

# require COMMAND...: ends the test if the command fails.
require() {
	"$@" || { echo "FAILED  $*; logs in $SITE_DIR" >&2; exit 1; }
}

# Stops the site, checks how its entries end, and exits with the result. The files
# of the site are kept after a failure, or if KEEP is set.
end_test() {
	check "every entry exits with status 0 on SIGTERM" stop_site
	trap - EXIT
	[ -z "${KEEP:-}" ] || echo "logs in $SITE_DIR"
	if [ $failures -gt 0 ]; then
		echo "logs in $SITE_DIR"
		exit 1
	fi
	[ -n "${KEEP:-}" ] || rm -rf "$SITE_DIR"
	exit 0
}

# grant TEAM LIMIT: creates a team and a key, and sets KEY_TEAM to the key.
grant() {
	require ctl team set "$1" --share 1 --limit "$2" >/dev/null
	require ctl key grant "$1" --label desk >"$SITE_DIR/key"
	eval "KEY_$1=$(sed -n 's/^key: *//p' "$SITE_DIR/key")"
}

# control_worker N CALL: makes a control call to worker N, e.g. "fault?mode=none".
control_worker() {
	curl -fsS -o /dev/null \
		"http://127.0.0.1:$(worker_port "$1")/control/$2"
}

# control_platform CALL: makes a control call, e.g. "outage?mode=off".
control_platform() {
	curl -fsS -o /dev/null "http://$PLATFORM_CONTROL/control/$1"
}

# Prints the runs of all workers, as lines "WORKER ID TEAM START END TASK".
# Times are in microseconds; END is 0 while a task runs; "-" means no team.
runs() {
	runs_n=0
	while [ $runs_n -lt $((WORKERS * $(echo "$PLACES" | wc -w))) ]; do
		curl -fsS "http://127.0.0.1:$(worker_port $runs_n)/control/runs" \
			>"$SITE_DIR/runs.$runs_n" || return 1
		runs_n=$((runs_n + 1))
	done
	python3 - "$SITE_DIR" "$runs_n" <<-'END'
	import json, sys
	for n in range(int(sys.argv[2])):
	    with open("%s/runs.%d" % (sys.argv[1], n)) as f:
	        for r in json.load(f)["runs"]:
	            print("w%d" % n, r["id"], r["team"] or "-", r["start"],
	                  r["end"], r["task"])
	END
}

# runs_of ID: prints the number of runs with this id.
runs_of() { runs | awk -v id="$1" '$2 == id { n++ } END { print n + 0 }'; }

# Prints the largest number of runs with the same id.
runs_max() {
	runs | awk '{ if (++n[$2] > max) max = n[$2] } END { print max + 0 }'
}

# ctl_at ENTRY ARGUMENTS...: runs ctl against the given entry.
ctl_at() {
	at_entry=$1
	shift
	"$BIN" ctl --entry "127.0.0.1:$(admin_port "$at_entry")" \
		--token-file "$SITE_DIR/token" "$@"
}

# revision N: the revision in force at entry N.
revision() {
	ctl_at "$1" status | awk '$1 == "revision" { print $2 }'
}

# has_revision N REVISION: true if entry N has this revision or a later one.
has_revision() { [ "$(revision "$1")" -ge "$2" ]; }

# field NAME FILE: the value in a file of lines NAME=VALUE; 0 if it is missing.
field() {
	awk -F= -v name="$1" '$1 == name { v = $2 } END { print v + 0 }' "$2"
}

# start_load NAME ENTRY KEY OPTIONS...: starts open-loop load. Its report goes to
# NAME.log.
start_load() {
	load_name=$1
	load_entry=$2
	load_key=$3
	shift 3
	start "$load_name" "$STANDIN" load \
		--target "127.0.0.1:$(front_port "$load_entry")" \
		--key "$load_key" --queue jobs "$@"
}

# all_answered NAME: waits for the end of a load; true if every request got its
# own answer.
all_answered() {
	finish "$1"
	log=$SITE_DIR/$1.log
	[ "$(field sent "$log")" -gt 0 ] &&
		[ "$(field sent "$log")" = "$(field answered "$log")" ] &&
		[ "$(field mismatched "$log")" = 0 ] && return 0
	cat "$log" >&2
	return 1
}

# submit_async FILE ENTRY KEY BODY [CURL OPTIONS]: submits in the background. The
# answer goes to FILE and the exit status of curl to FILE.rc.
submit_async() {
	async_file=$SITE_DIR/$1
	shift
	{ submit "$@" >"$async_file" 2>/dev/null 9>&-; echo $? >"$async_file.rc"; } &
	SUBMITS="${SUBMITS:-} $!"
}

# Waits for the answers to all background submissions.
wait_submits() {
	for pid in ${SUBMITS:-}; do wait "$pid"; done
	SUBMITS=
}
