#!/bin/sh
# Runs the mutants that a unit test or a short series of driver runs catches;
# "make mutants" runs all. Guards against a driver that no longer finds faults.
set -eu
cd "$(dirname "$0")/../.."
make -s -j"$(nproc)" VARIANT=soak build/soak/camphorshed-soak unit
MUTANTS='dispatch-no-claim|long-rerun-non-idempotent|permit-no-hold|retry-non-idempotent|list:|test:' \
	SEEDS="1 2" tests/soak/mutants.sh
