#!/bin/sh
# Runs all checks and ends with "N passed, N failed". Exits with status 0 if no
# check fails but those in KNOWN-RED.txt. No check depends on absolute speed.
set -u
cd "$(dirname "$0")/.."

logs=build/check
# Fewer than there are cores, since tests that wait for real timeouts must not
# wait for a processor as well.
unit_jobs=4
process_jobs=3

# A line "test: NAME" in KNOWN-RED.txt lists a known failure.
is_known_red() {
	[ -f KNOWN-RED.txt ] && grep -qx "test: $1" KNOWN-RED.txt
}

# run_check NAME COMMAND...: runs one check, with its output in a log of its own.
run_check() {
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

# xargs runs the script with "one" and the arguments of run_check.
if [ "${1:-}" = one ]; then
	shift
	run_check "$@"
	exit 0
fi

mkdir -p "$logs"
rm -f "$logs"/*.log
: >"$logs/results"
jobs=$(nproc)
# GLib's slice allocator reuses blocks between threads. tsan would report this as
# data races, since GLib is not instrumented.
G_SLICE=always-malloc
export G_SLICE

for v in rel asan tsan soak fuzz; do
	run_check "fresh $v" make -s VARIANT=$v fresh
done
run_check "build" make -s -j"$jobs" programs unit
run_check "lint" scripts/lint.sh
for v in rel asan tsan; do
	run_check "build $v" make -s -j"$jobs" VARIANT=$v unit
done
run_check "build soak" make -s -j"$jobs" VARIANT=soak \
	build/soak/camphorshed-soak unit
for v in rel asan tsan; do
	for t in build/$v/unit/test_*; do
		case $t in *.d | *.o) continue ;; esac
		printf 'unit %s %s\0%s\0' "$v" "$(basename "$t")" "$t"
	done
done | xargs -0 -P $unit_jobs -n 2 "$0" one
for t in tests/process/test_*.sh; do
	printf '%s\0%s\0' "${t#tests/}" "$t"
done | xargs -0 -P $process_jobs -n 2 "$0" one
# A crowd of callers leaves no processor to others, so these run one at a time.
for t in tests/crowd/test_*.sh tests/soak/test_*.sh tests/fuzz/test_*.sh; do
	run_check "${t#tests/}" "$t"
done

passed=$(grep -c '^ok ' "$logs/results")
failed=$(grep -c '^FAILED ' "$logs/results")
red=$(grep -c '^red ' "$logs/results")
[ "$red" -eq 0 ] || echo "$red known red, see KNOWN-RED.txt"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
