#!/bin/sh
# run.sh RUNS [SECONDS]: runs each fuzz target on RUNS inputs, for SECONDS (600 by
# default) at most, starting from its seeds. An input that fails is kept as
# build/fuzz/TARGET-crash-*, and the exit status is then 1.
set -u
cd "$(dirname "$0")/../.." || exit 2
runs=$1
seconds=${2:-600}
bin=build/fuzz/camphorshed-fuzz
# GLib's slice allocator hides heap errors from asan.
G_SLICE=always-malloc
export G_SLICE
failed=0
for target in $("$bin" --list); do
	CAMPHORSHED_FUZZ=$target
	export CAMPHORSHED_FUZZ
	corpus=build/fuzz/corpus/$target
	log=build/fuzz/$target.log
	rm -rf "$corpus"
	mkdir -p "$corpus"
	CAMPHORSHED_FUZZ_SEEDS=$corpus "$bin" || exit 2
	if "$bin" -runs="$runs" -max_total_time="$seconds" -seed=1 \
		-max_len=4096 -timeout=10 \
		-artifact_prefix="build/fuzz/$target-" "$corpus" >"$log" 2>&1; then
		echo "ok      $target: $(sed -n 's/^Done //p' "$log")"
	else
		echo "FAILED  $target"
		tail -n 40 "$log"
		failed=1
	fi
done
exit $failed
