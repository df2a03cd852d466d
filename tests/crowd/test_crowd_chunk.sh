#!/bin/sh
# Guards against: chunked bodies in one large chunk that stop one byte short and
# stay open make an entry hold more memory than its machine has.
set -u
cd "$(dirname "$0")/../.."
. tests/crowd/lib.sh
run_crowd chunk 200
