#!/bin/sh
# Guards against: chunked bodies in one-byte chunks that stay open cost an entry
# a multiple of their bytes, and more memory than its machine has.
set -u
cd "$(dirname "$0")/../.."
. tests/crowd/lib.sh
run_crowd bytes 200
