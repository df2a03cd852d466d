#!/bin/sh
# Guards against: whole bodies of legal size that stop one byte short and stay
# open make an entry of the product's own interface hold more memory than its
# machine has.
set -u
cd "$(dirname "$0")/../.."
. tests/process/lib.sh

MEMORY_KB=32768
CONNECTIONS_MAX=400
DESCRIPTORS_MAX=$((CONNECTIONS_MAX + 100))
# LIMIT= leaves the memory out, for builds without the key.
LIMIT=${LIMIT-memory = 32m}

start_entry() {
	sed -i -e "s/^\[entry\]/&\n$LIMIT/" \
		-e "s/^\[front\]/&\nconnections_max = $CONNECTIONS_MAX/" \
		"$SITE_DIR/e$1.ini"
	start "e$1" "$BIN" entry -c "$SITE_DIR/e$1.ini"
}
memory_kb() { awk -v k="$1:" '$1 == k { print $2 }' "/proc/$(pid_of e1)/status"; }
descriptors() { find "/proc/$(pid_of e1)/fd" -mindepth 1 | wc -l; }
descriptors_are_at_most() { [ "$(descriptors)" -le "$1" ]; }
answers() { submit 1 "$KEY_desk" "run_ms=5" -m 30 | grep -q '"ran"'; }

require start_site
grant desk 16
check "a request is answered before" wait_for 60 answers
before=$(descriptors)
mkfifo "$SITE_DIR/hold"
python3 tests/crowd/crowd.py body "$(front_port 1)" 200 /v1/queues/jobs/jobs \
	<"$SITE_DIR/hold" >"$SITE_DIR/crowd" &
crowd=$!
exec 8>"$SITE_DIR/hold"
check "the crowd has sent" wait_for 300 [ -s "$SITE_DIR/crowd" ]
check "its descriptors stay under the bound" is_at_most "$(descriptors)" \
	$DESCRIPTORS_MAX
check "a request is answered beside the crowd" wait_for 60 answers
exec 8>&-
wait $crowd
check "a request is answered after the crowd" wait_for 60 answers
check "no descriptor is left of the crowd" wait_for 120 \
	descriptors_are_at_most $((before + 20))
echo "        peak $(memory_kb VmHWM) kB"
check "its memory has stayed within that of the machine" \
	is_at_most "$(memory_kb VmHWM)" $MEMORY_KB
end_test
