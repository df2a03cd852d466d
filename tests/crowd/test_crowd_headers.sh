#!/bin/sh
# Guards against: many short header lines cost an entry a multiple of their bytes
# while it waits for the body, and more memory than its machine has.
set -u
cd "$(dirname "$0")/../.."
. tests/crowd/lib.sh
run_crowd headers 200
