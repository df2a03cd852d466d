#!/bin/sh
# Guards against: a request that follows an empty line, which some clients send
# after a body and RFC 9112 wants ignored, is never answered.
set -u
cd "$(dirname "$0")/../.."
PLACES=dc1
. tests/process/lib.sh
require start_site
grant desk 16
check "a request after an empty line is answered" is_equal \
	"$(python3 tests/process/bad_input.py blank_line "$(front_port 1)")" \
	"HTTP/1.1 401 Unauthorized key_required"
end_test
