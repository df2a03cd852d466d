# Functions that run a small site on loopback: a platform, workers and entries.
# Sourced by the demo, the process tests and the benchmark. The caller may set
# SITE_DIR, PORT_BASE, VARIANT, PLACES (the data centres), WORKERS and SLOTS.

VARIANT=${VARIANT:-rel}
BIN=$PWD/build/$VARIANT/camphorshed
STANDIN=$PWD/build/$VARIANT/camphorshed-standin
SITE_DIR=${SITE_DIR:-$(mktemp -d)}

is_listening() {
	grep -q ":$(printf %04X "$1") 00000000:0000 0A" /proc/net/tcp
}

# Sets PORT_BASE. Sites that run at the same time must not share ports, so each
# locks a block of 100 ports below the range of outgoing connections. Its
# processes inherit the lock, which is released when the last one has exited.
# A site of another tree that takes no lock is detected by its platform, which
# listens on the first port of the block.
lock_ports() {
	lock_dir=${TMPDIR:-/tmp}/camphorshed-ports
	mkdir -p "$lock_dir"
	lock_nr=$(($$ % 120))
	lock_end=$((lock_nr + 120))
	while [ $lock_nr -lt $lock_end ]; do
		PORT_BASE=$((20000 + lock_nr % 120 * 100))
		exec 9>"$lock_dir/$PORT_BASE"
		flock -n 9 && ! is_listening $PORT_BASE && return 0
		lock_nr=$((lock_nr + 1))
	done
	echo "no free block of ports" >&2
	exit 1
}
[ -n "${PORT_BASE:-}" ] || lock_ports
PLACES=${PLACES:-"dc1 dc2"}
WORKERS=${WORKERS:-2} # per data centre
SLOTS=${SLOTS:-8} # per worker
CTL_ENTRY=${CTL_ENTRY:-1} # the entry that ctl connects to
TOKEN=demo-token-0123456789
PLATFORM=127.0.0.1:$PORT_BASE
PLATFORM_CONTROL=127.0.0.1:$((PORT_BASE + 1))
PIDS=

# Ports of entry N for callers, operators and peers.
front_port() { echo $((PORT_BASE + 10 + 3 * $1)); }
admin_port() { echo $((PORT_BASE + 11 + 3 * $1)); }
peer_port() { echo $((PORT_BASE + 12 + 3 * $1)); }
worker_port() { echo $((PORT_BASE + 60 + $1)); }

# start NAME COMMAND...: starts a process in the background; its output goes to
# NAME.log.
start() {
	site_name=$1
	shift
	"$@" >"$SITE_DIR/$site_name.log" 2>&1 &
	eval "PID_$site_name=$!"
	PIDS="$PIDS $!"
}

pid_of() { eval "echo \$PID_$1"; }

# data_centre_of N: entries 1 and 2 are in the first data centre, 3 and 4 in the
# second.
data_centre_of() {
	# shellcheck disable=SC2086
	set -- $(( ($1 - 1) / 2 + 1 )) $PLACES
	shift "$1"
	echo "$1"
}

# write_settings N: writes the settings of entry N.
write_settings() {
	f=$SITE_DIR/e$1.ini
	cat >"$f" <<-END
	[entry]
	id = e$1
	data_centre = $(data_centre_of "$1")
	drain = 20s
	[front]
	listen = 127.0.0.1:$(front_port "$1")
	[admin]
	listen = 127.0.0.1:$(admin_port "$1")
	token = $TOKEN
	[peer]
	listen = 127.0.0.1:$(peer_port "$1")
	secret = demo-peer-secret-0123456789
	[platform]
	address = $PLATFORM
	timeout = 1s
	END
	for other in $ENTRIES; do
		[ "$other" = "$1" ] || cat >>"$f" <<-END
		[peer e$other]
		address = 127.0.0.1:$(peer_port "$other")
		data_centre = $(data_centre_of "$other")
		END
	done
	chmod 600 "$f"
}

# Writes the fleet document: hosts with one worker each, all in pool "main".
write_document() {
	f=$SITE_DIR/site.fleet.ini
	printf '[preset]\nname = ordinary\n[pool main]\nbudget_percent = 50\n[pool spare]\nis_spare = true\nbudget_percent = 50\n' >"$f"
	n=0
	for data_centre in $PLACES; do
		printf '[data-centre %s]\nregion = south\n' "$data_centre" >>"$f"
		i=0
		while [ $i -lt "$WORKERS" ]; do
			cat >>"$f" <<-END
			[host h-$data_centre-$i]
			rack = r-$data_centre-$i
			data_centre = $data_centre
			pool = main
			[worker w-$data_centre-$i]
			host = h-$data_centre-$i
			address = 127.0.0.1:$(worker_port $n)
			slots = $SLOTS
			END
			echo "h-$data_centre-$i 127.0.0.1:$(worker_port $n) $data_centre" \
				>>"$SITE_DIR/hosts"
			i=$((i + 1))
			n=$((n + 1))
		done
	done
	printf '[queue jobs]\npool = main\n' >>"$f"
}

ctl() {
	"$BIN" ctl --entry "127.0.0.1:$(admin_port "$CTL_ENTRY")" \
		--token-file "$SITE_DIR/token" "$@"
}

# Prints the time in microseconds, in steps of 10 ms, on the clock that the
# stand-ins report times of.
now_us() {
	read -r now_up now_idle </proc/uptime
	echo "$(echo "$now_up" | tr -d .)0000"
}

# wait_for SECONDS COMMAND...: retries until the command succeeds, without its
# output. Fails if it still doesn't after SECONDS.
wait_for() {
	wait_end=$(($(now_us) + $1 * 1000000))
	shift
	while :; do
		"$@" >/dev/null 2>&1 && return 0
		[ "$(now_us)" -lt $wait_end ] || break
		sleep 0.05
	done
	echo "timeout: $*" >&2
	return 1
}

entry_ready() {
	curl -fsS -o /dev/null "http://127.0.0.1:$(admin_port "$1")/readyz"
}

entry_healthy() {
	curl -fsS -o /dev/null "http://127.0.0.1:$(admin_port "$1")/healthz"
}

platform_up() {
	curl -fsS -o /dev/null "http://$PLATFORM/hosts"
}

start_entry() { start "e$1" "$BIN" entry -c "$SITE_DIR/e$1.ini"; }

# Writes all files and starts the platform and the workers.
start_backends() {
	ENTRIES=
	n=0
	for data_centre in $PLACES; do
		ENTRIES="$ENTRIES $((n + 1)) $((n + 2))"
		n=$((n + 2))
	done
	: >"$SITE_DIR/hosts"
	echo "$TOKEN" >"$SITE_DIR/token"
	chmod 600 "$SITE_DIR/token"
	write_document
	for n in $ENTRIES; do
		write_settings "$n"
		echo "e$n 127.0.0.1:$(peer_port "$n") $(data_centre_of "$n")" \
			>>"$SITE_DIR/hosts"
	done
	start platform "$STANDIN" platform --listen "$PLATFORM" \
		--control "$PLATFORM_CONTROL" --hosts "$SITE_DIR/hosts"
	n=0
	for data_centre in $PLACES; do
		i=0
		while [ $i -lt "$WORKERS" ]; do
			start "w$n" "$STANDIN" worker \
				--listen "127.0.0.1:$(worker_port $n)" \
				--name "w-$data_centre-$i" --slots "$SLOTS"
			i=$((i + 1))
			n=$((n + 1))
		done
	done
	wait_for 5 platform_up
}

# Starts the platform, the workers and the entries, and applies the document.
start_site() {
	start_backends || return 1
	for n in $ENTRIES; do start_entry "$n"; done
	for n in $ENTRIES; do wait_for 5 entry_healthy "$n" || return 1; done
	ctl document apply "$SITE_DIR/site.fleet.ini" >/dev/null || return 1
	for n in $ENTRIES; do wait_for 8 entry_ready "$n" || return 1; done
}

# remove_pid PID: removes a process that has exited from PIDS.
remove_pid() {
	left=
	for pid in $PIDS; do
		[ "$pid" = "$1" ] || left="$left $pid"
	done
	PIDS=$left
}

# finish NAME: waits until a process exits; returns its exit status.
finish() {
	ended=$(pid_of "$1")
	finish_rc=0
	wait "$ended" || finish_rc=$?
	remove_pid "$ended"
	return $finish_rc
}

# kill_entry N: kills an entry, as in a crash, and removes it from ENTRIES, so
# that stop_site doesn't wait for it.
kill_entry() {
	kill -KILL "$(pid_of "e$1")"
	finish "e$1" 2>/dev/null || :
	left=
	for n in $ENTRIES; do
		[ "$n" = "$1" ] || left="$left $n"
	done
	ENTRIES=$left
}

# Stops all processes with SIGTERM. Fails, and prints the exit status, if an
# entry exits with an error.
stop_site() {
	site_rc=0
	for n in $ENTRIES; do
		pid=$(pid_of "e$n")
		kill -TERM "$pid" 2>/dev/null || :
	done
	for n in $ENTRIES; do
		pid=$(pid_of "e$n")
		wait "$pid" || { echo "e$n exited with status $?" >&2; site_rc=1; }
		remove_pid "$pid"
	done
	for pid in $PIDS; do
		kill -TERM "$pid" 2>/dev/null || :
	done
	wait
	return $site_rc
}

# Kills all processes that are left. For the EXIT trap, after a failure.
abort_site() {
	for pid in $PIDS; do
		kill -KILL "$pid" 2>/dev/null || :
	done
	wait 2>/dev/null || :
}

# submit ENTRY KEY BODY [CURL OPTIONS]: sends a request and prints the answer.
submit() {
	submit_entry=$1
	submit_key=$2
	submit_body=$3
	shift 3
	curl -sS -m 30 -H "Authorization: Bearer $submit_key" "$@" \
		--data-binary "$submit_body" \
		"http://127.0.0.1:$(front_port "$submit_entry")/v1/queues/jobs/jobs"
}
