#!/bin/sh
# All checks, each counted as one. Ends with "N passed, N failed"; exit 0 if
# nothing failed but what KNOWN-RED.txt lists. No check is on absolute speed.
set -u
cd "$(dirname "$0")/.."

logs=build/check
# Fewer than there are cores: some tests wait for real time-outs, and must not
# wait for a processor as well.
unit_jobs=4
process_jobs=3

# Lines of KNOWN-RED.txt that begin with "test: NAME" list a known failure.
is_known_red() {
	[ -f KNOWN-RED.txt ] && grep -qx "test: $1" KNOWN-RED.txt
}

# one NAME COMMAND...: runs one check, with its output in a file of its own.
one() {
	name=$1
	shift
	log=$logs/$(echo "$name" | tr ' /' '__').log
	if "$@" >"$log" 2>&1; then
		echo "ok      $name"
	elif is_known_red "$name"; then
		echo "red     $name (listed in KNOWN-RED.txt)"
	else
		echo "FAILED  $name"
		tail -n 40 "$log" | sed 's/^/        /'
	fi | tee -a "$logs/results"
}

if [ "${1:-}" = one ]; then
	shift
	one "$@"
	exit 0
fi

mkdir -p "$logs"
rm -f "$logs"/*.log
: >"$logs/results"
jobs=$(nproc)
# GLib's own allocator reuses blocks between threads, which tsan, since GLib is
# not instrumented, takes for data races.
G_SLICE=always-malloc
export G_SLICE

one "build" make -s -j"$jobs" programs unit
one "lint" scripts/lint.sh
for v in rel asan tsan; do
	one "build $v" make -s -j"$jobs" VARIANT=$v unit
done
one "build soak" make -s -j"$jobs" VARIANT=soak build/soak/camphorshed-soak unit
for v in rel asan tsan; do
	for t in build/$v/unit/test_*; do
		case $t in *.d | *.o) continue ;; esac
		printf 'unit %s %s\0%s\0' "$v" "$(basename "$t")" "$t"
	done
done | xargs -0 -P $unit_jobs -n 2 "$0" one
for t in tests/process/test_*.sh; do
	printf '%s\0%s\0' "${t#tests/}" "$t"
done | xargs -0 -P $process_jobs -n 2 "$0" one
for t in tests/soak/test_*.sh tests/fuzz/test_*.sh; do
	one "${t#tests/}" "$t"
done

passed=$(grep -c '^ok ' "$logs/results")
failed=$(grep -c '^FAILED ' "$logs/results")
red=$(grep -c '^red ' "$logs/results")
[ "$red" -eq 0 ] || echo "$red known red, see KNOWN-RED.txt"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
