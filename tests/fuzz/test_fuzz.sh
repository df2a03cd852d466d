#!/bin/sh
# A short round of all fuzz targets; guards against input that crashes a
# decoder or that it accepts and then can't encode again. "make fuzz" runs
# longer.
set -eu
cd "$(dirname "$0")/../.."
make -s -j"$(nproc)" VARIANT=fuzz build/fuzz/camphorshed-fuzz
# 11 targets of at most 4 s each stay under a minute.
tests/fuzz/run.sh 20000 4
