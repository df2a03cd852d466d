#!/bin/sh
# Guards against: requests that are sent before the answer to the first one make
# an entry hold their input, and more memory than its machine has.
set -u
cd "$(dirname "$0")/../.."
. tests/crowd/lib.sh
run_crowd pipelined 200
