#!/bin/sh
# All checks, each counted as one. Ends with "N passed, N failed"; exit 0 if
# nothing failed but what KNOWN-RED.txt lists. No check is on absolute speed.
set -u
cd "$(dirname "$0")/.."

jobs=$(nproc)
logs=build/check
mkdir -p "$logs"
passed=0
failed=0
red=0

# Lines of KNOWN-RED.txt that begin with "test: NAME" list a known failure.
is_known_red() {
	[ -f KNOWN-RED.txt ] && grep -qx "test: $1" KNOWN-RED.txt
}

# run NAME COMMAND...: runs one check, with its output in a file.
run() {
	name=$1
	shift
	log=$logs/$(echo "$name" | tr ' /' '__').log
	if "$@" >"$log" 2>&1; then
		passed=$((passed + 1))
		echo "ok      $name"
	elif is_known_red "$name"; then
		red=$((red + 1))
		echo "red     $name (listed in KNOWN-RED.txt)"
	else
		failed=$((failed + 1))
		echo "FAILED  $name"
		tail -n 40 "$log" | sed 's/^/        /'
	fi
}

run "build" make -s -j"$jobs" programs unit
run "lint" scripts/lint.sh
# GLib's own block allocator hides heap errors from asan and, because GLib is
# not instrumented, looks like data races to tsan.
G_SLICE=always-malloc
export G_SLICE
for v in rel asan tsan; do
	run "build $v" make -s -j"$jobs" VARIANT=$v unit
	for t in build/$v/unit/test_*; do
		case $t in *.d | *.o) continue ;; esac
		run "unit $v $(basename "$t")" "$t"
	done
done
for t in tests/process/test_*.sh tests/soak/test_*.sh tests/bench/test_*.sh \
	tests/fuzz/test_*.sh; do
	[ -f "$t" ] || continue
	run "${t#tests/}" "$t"
done

[ "$red" -eq 0 ] || echo "$red known red, see KNOWN-RED.txt"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
