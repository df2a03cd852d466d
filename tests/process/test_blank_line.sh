#!/bin/sh
# Guards against: a request after an empty line is never answered. Some clients
# send such a line after a body, and RFC 9112 requires servers to ignore it.
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
