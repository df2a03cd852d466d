#!/bin/sh
# Guards against: requests whose answers are not read make an entry hold answers
# and input, and more memory than its machine has.
set -u
cd "$(dirname "$0")/../.."
. tests/crowd/lib.sh
run_crowd unread 200
