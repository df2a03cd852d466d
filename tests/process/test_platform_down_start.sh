#!/bin/sh
# Guards against: entries that start while the platform is down don't recover
# when it comes back, or an entry that restarts during an outage doesn't get the
# configuration from its peers and can't serve.
set -u
cd "$(dirname "$0")/../.."
. tests/process/lib.sh

answers() { submit "$1" "$KEY_desk" "run_ms=5" -m 5 | grep -q '"ran"'; }

require start_backends
control_platform "outage?mode=refuse"
for n in $ENTRIES; do start_entry "$n"; done
for n in $ENTRIES; do
	check "platform down: entry $n is healthy" wait_for 5 entry_healthy "$n"
done
check "platform down: a change is not accepted" \
	[ "$(ctl document apply "$SITE_DIR/site.fleet.ini" >/dev/null 2>&1
		echo $?)" -ne 0 ]
control_platform "outage?mode=off"
applied() { ctl document apply "$SITE_DIR/site.fleet.ini"; }
check "platform back: a change is accepted" wait_for 7 applied
for n in $ENTRIES; do
	check "platform back: entry $n is ready" wait_for 7 entry_ready "$n"
done
grant desk 16
for n in $ENTRIES; do
	check "platform back: entry $n serves" answers "$n"
done

# During an outage entries only have the permits they hold, so each needs some.
holds_permits() {
	ctl_at "$1" status | awk '$1 == "desk" { n = $4 } END { exit !n }'
}
for n in $ENTRIES; do
	check "before the outage: entry $n holds permits" \
		wait_for 10 holds_permits "$n"
done
old_revision=$(revision 1)
control_platform "outage?mode=refuse"
kill_entry 4
ENTRIES="$ENTRIES 4"
start_entry 4
check "started during an outage: the entry is healthy" wait_for 5 entry_healthy 4
check "started during an outage: it has its peers' configuration" \
	wait_for 7 has_revision 4 "$old_revision"
check "started during an outage: it serves" wait_for 5 answers 4
for n in 1 2 3; do
	check "during the outage: entry $n serves" answers "$n"
done
control_platform "outage?mode=off"
check "after the outage: a change is in force everywhere" \
	wait_for 7 ctl --timeout 7 preset peak
check "after the outage: the restarted entry serves" answers 4
end_test
