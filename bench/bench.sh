#!/bin/sh
# Runs all benchmarks and prints key=value lines; `make bench` calls it. An
# optional argument selects a part: model, entry, idle or config.
set -eu
cd "$(dirname "$0")/.."

VARIANT=${VARIANT:-rel}
PART=${1:-all}
wants() { [ "$PART" = all ] || [ "$PART" = "$1" ]; }

machine() {
	echo "machine.processors=$(nproc)"
	echo "machine.load_1min=$(cut -d' ' -f1 /proc/loadavg)"
	echo "machine.kernel=$(uname -r)"
	echo "machine.commit=$(git rev-parse --short HEAD 2>/dev/null || echo none)"
}

# prefix NAME: puts NAME. in front of each key=value line.
prefix() { sed "s/^/$1./"; }

# ms_since T: milliseconds since T, a time in nanoseconds.
ms_since() { echo $((($(date +%s%N) - $1) / 1000000)); }

# begin_site PLACES WORKERS LIMIT: starts a site in the data centres PLACES, with
# WORKERS workers in each, and adds a team with its key.
begin_site() {
	SITE_DIR=$(mktemp -d)
	PLACES=$1
	WORKERS=$2
	PIDS=
	. scripts/site.sh
	trap abort_site EXIT
	start_site
	ctl team set errata --share 2 --limit "$3" >/dev/null
	KEY=$(ctl key grant errata --label desk | sed -n 's/^key: *//p')
	# Warm up: the first requests fetch permits from the ledger.
	load 1 --rate 100 --seconds 3 --idempotent >/dev/null
}

end_site() {
	stop_site
	trap - EXIT
	rm -rf "$SITE_DIR"
}

# load ENTRY OPTIONS...: sends load through an entry.
load() {
	load_entry=$1
	shift
	"$STANDIN" load --target "127.0.0.1:$(front_port "$load_entry")" \
		--queue jobs --key "$KEY" "$@"
}

# direct OPTIONS...: sends load to worker 0, without an entry.
direct() {
	"$STANDIN" load --direct --target "127.0.0.1:$(worker_port 0)" "$@"
}

# One worker of 8 slots at 5 ms can run 1,600 requests per second. Direct load
# uses 8 connections; through an entry, more requests than slots are queued.
measure_entry() {
	begin_site dc1 1 8
	echo "entry.service_ms=5"
	for round in 1 2 3; do
		direct --rate 200 --seconds 5 --idempotent |
			prefix "entry.latency$round.direct"
		load 1 --rate 200 --seconds 5 --idempotent |
			prefix "entry.latency$round.idempotent"
		load 1 --rate 200 --seconds 5 |
			prefix "entry.latency$round.claimed"
		# Idle permits have moved to the other entry. This run shows how
		# long they take to return.
		load 1 --rate 1400 --seconds 3 --idempotent |
			prefix "entry.after_idle$round.idempotent"
		load 1 --rate 3000 --seconds 3 --idempotent --concurrency 64 |
			prefix "entry.full$round.idempotent"
		direct --rate 3000 --seconds 3 --idempotent --concurrency 8 |
			prefix "entry.full$round.direct"
	done
	end_site
}

# ticks PID: clock ticks of processor time used by a process.
ticks() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }

measure_idle() {
	begin_site "dc1 dc2" 4 64
	sleep 10
	for n in $ENTRIES; do
		eval "before$n=$(ticks "$(pid_of "e$n")")"
	done
	sleep 30
	for n in $ENTRIES; do
		pid=$(pid_of "e$n")
		eval "before=\$before$n"
		now=$(ticks "$pid")
		echo "idle.e$n.core_percent=$(echo "$now $before $(getconf CLK_TCK)" |
			awk '{ printf "%.3f", ($1 - $2) / $3 / 30 * 100 }')"
		awk -v n="$n" '/^VmRSS|^Threads/ {
			print "idle.e" n "." tolower(substr($1, 1,
				length($1) - 1)) "=" $2 }' "/proc/$pid/status"
	done
	end_site
}

# refused ENTRY: true if the entry refuses the key.
refused() { submit "$1" "$KEY" "run_ms=1" | grep -q key_not_accepted; }

# Time until ctl reports that a change is in force at every entry, and until
# each entry applies it.
measure_config() {
	begin_site "dc1 dc2" 2 32
	for round in 1 2 3 4 5; do
		t=$(date +%s%N)
		ctl preset peak >/dev/null
		echo "config.preset_peak$round.in_force_ms=$(ms_since "$t")"
		t=$(date +%s%N)
		ctl preset ordinary >/dev/null
		echo "config.preset_ordinary$round.in_force_ms=$(ms_since "$t")"
	done
	t=$(date +%s%N)
	ctl data-centre out dc2 >/dev/null
	echo "config.data_centre_out.in_force_ms=$(ms_since "$t")"
	ctl data-centre in dc2 >/dev/null
	t=$(date +%s%N)
	ctl key withdraw errata --label desk >/dev/null
	echo "config.key_withdrawn.in_force_ms=$(ms_since "$t")"
	for n in $ENTRIES; do
		wait_for 5 refused "$n"
		echo "config.key_withdrawn.e$n.refused_after_ms=$(ms_since "$t")"
	done
	end_site
}

machine
if wants model; then
	"build/$VARIANT/camphorshed-bench"
	# The comparisons turn mechanisms off, which only the soak build can do.
	build/soak/camphorshed-bench share leave
fi
if wants entry; then
	measure_entry
fi
if wants idle; then
	measure_idle
fi
if wants config; then
	measure_config
fi
machine
