#!/bin/sh
# Guards against: malformed input from a caller, from an unknown peer or from the
# platform crashes an entry, stops it from serving, or leaves no error in the
# log that names the step and the peer.
set -u
cd "$(dirname "$0")/../.."
. tests/process/lib.sh
require start_site
grant desk 16

answers() { submit "$1" "$KEY_desk" "run_ms=5" -m 5 | grep -q '"ran"'; }
bad_input() { python3 tests/process/bad_input.py "$@"; }

# refused CASE STATUS...: true if the answer has one of the statuses, or "closed"
# is listed and the connection was closed.
refused() {
	case_name=$1
	shift
	got=$(bad_input "$case_name" "$(front_port 1)")
	for status in "$@"; do
		case $got in
		"HTTP/1.1 $status "* | "$status"*) return 0 ;;
		esac
	done
	echo "got \"$got\"" >&2
	return 1
}
# log_lines ENTRY: the length of its log.
log_lines() { wc -l <"$SITE_DIR/e$1.log"; }
# logged ENTRY LINES PATTERN: true if the log has a matching line after the first
# LINES, which names step and peer.
logged() {
	tail -n +"$(($2 + 1))" "$SITE_DIR/e$1.log" | grep -E "$3" |
		grep "step=[a-z_]" | grep -q "peer=[a-z0-9]"
}

for c in long_header many_headers; do
	check "caller: $c" refused $c 431 413 400 closed
done
check "caller: long_line" refused long_line 414 431 400 closed
check "caller: long_body" refused long_body 413 closed
check "caller: announced_body" refused announced_body 413 400 closed
for c in negative_length wrong_length bad_line noise; do
	check "caller: $c" refused $c 400 closed
done
for c in wrong_id long_id wrong_idempotent wrong_deadline large_deadline \
	wrong_urgent wrong_work; do
	check "caller: $c" refused $c 400
done
check "caller: wrong_key" refused wrong_key 401
check "caller: unknown_key" refused unknown_key 401
check "caller: wrong_path" refused wrong_path 404
check "caller: wrong_method" refused wrong_method 405
sleep 0.3
check "caller: the log names step and peer" \
	logged 1 0 "step=(decode|receive|parse|front).* peer=127"
check "the entry serves" answers 1

for c in peer_noise peer_long_frame peer_no_array peer_empty_frame \
	peer_huge_array; do
	lines=$(log_lines 1)
	check "peer port: $c ends the connection" [ \
		"$(bad_input $c "$(peer_port 1)" | cut -c 1-6)" != silent ]
	check "peer port: $c is in the log with step and peer" \
		wait_for 2 logged 1 "$lines" "level=(warn|error)"
done
# An entry with another secret claims to be e1 and connects to e2.
lines=$(log_lines 2)
sed "s/^secret = .*/secret = another-secret-0123456789/
	s/$(front_port 1)\$/$(front_port 7)/
	s/$(admin_port 1)\$/$(admin_port 7)/
	s/$(peer_port 1)\$/$(peer_port 7)/" "$SITE_DIR/e1.ini" \
	>"$SITE_DIR/e7.ini"
chmod 600 "$SITE_DIR/e7.ini"
start e7 "$BIN" entry -c "$SITE_DIR/e7.ini"
check "peer port: a wrong secret is in the log with step and peer" \
	wait_for 5 logged 2 "$lines" "event=handshake_failed"
kill -KILL "$(pid_of e7)"
quietly finish e7 2>/dev/null
check "the entry serves" answers 2

# A malformed document must not replace the one in force.
kv=http://$PLATFORM/kv/config/fleet
curl -fsS "$kv" >"$SITE_DIR/kv"
version() { sed 's/.*"version":\([0-9]*\).*/\1/'; }
lines=$(log_lines 1)
check "platform: a malformed document is stored" curl -fsS -o /dev/null -X PUT \
	"$kv?version=$(version <"$SITE_DIR/kv")&change=x" \
	--data '{"value":"{\"revision\": 99, broken"}'
check "platform: it is in the log with step and peer" \
	wait_for 5 logged 1 "$lines" "level=(warn|error).*(config|document)"
for n in $ENTRIES; do
	check "platform: entry $n serves with the last valid document" answers $n
done
refuses_change() { ! quietly ctl --no-wait preset peak 2>/dev/null; }
check "platform: no change to it is accepted" refuses_change
python3 -c 'import json, sys
print(json.dumps({"value": json.load(open(sys.argv[1]))["value"]}))' \
	"$SITE_DIR/kv" >"$SITE_DIR/value"
check "platform: the valid document is stored again" curl -fsS -o /dev/null \
	-X PUT "$kv?version=$(curl -fsS "$kv" | version)&change=y" \
	--data "@$SITE_DIR/value"
check "platform: a change is in force again" \
	wait_for 7 ctl --timeout 7 preset maintenance
for n in $ENTRIES; do
	check "entry $n still runs and serves" answers $n
done
end_test
