#!/bin/sh
# Guards against input that crashes a decoder, or that a decoder accepts but that
# can't be encoded again. Runs all fuzz targets briefly; "make fuzz" runs longer.
set -eu
cd "$(dirname "$0")/../.."
make -s -j"$(nproc)" VARIANT=fuzz build/fuzz/camphorshed-fuzz
# 17 targets of at most 4 s each take little more than a minute.
tests/fuzz/run.sh 20000 4
