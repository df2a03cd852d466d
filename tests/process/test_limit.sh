#!/bin/sh
# Guards against: a team that submits through all entries runs more tasks at once
# than its limit (I5), or doesn't reach its limit although nothing fails. Also
# prints how much of the limit was used; the target is 98 percent.
set -u
cd "$(dirname "$0")/../.."
. tests/process/lib.sh
require start_site
LIMIT=6
grant desk $LIMIT

for n in $ENTRIES; do
	start_load "load$n" "$n" "$KEY_desk" --rate 16 --seconds 9 \
		--idempotent \
		--body "run_ms=150 team=desk echo={id} id={id}"
done
for n in $ENTRIES; do
	finish "load$n"
	check "entry $n: every answer belongs to its request" \
		is_equal "$(field mismatched "$SITE_DIR/load$n.log")" 0
done
runs >"$SITE_DIR/runs.all"
# Use of the limit is measured from 4 s to 8.5 s after the first start; the load
# ends 9 s after it. A task that still runs has end 0.
python3 - "$SITE_DIR/runs.all" $LIMIT >"$SITE_DIR/use" <<-'END'
	import sys
	limit = int(sys.argv[2])
	tasks = [line.split() for line in open(sys.argv[1])]
	times = [(int(t[3]), int(t[4]) or 1 << 62) for t in tasks]
	first = min(t[0] for t in times)
	begin, end = first + 4000000, first + 8500000
	changes = sorted([(s, 1) for s, e in times] + [(e, -1) for s, e in times])
	running = most = used = 0
	last = begin
	for at, change in changes:
	    upto = min(max(at, begin), end)
	    used += running * (upto - last)
	    last = upto
	    running += change
	    most = max(most, running)
	print("tasks=%d" % len(tasks))
	print("most=%d" % most)
	print("used_percent=%.1f" % (100 * used / (limit * (end - begin))))
END
cat "$SITE_DIR/use"
check "tasks ran" is_at_least "$(field tasks "$SITE_DIR/use")" 50
check "never more than $LIMIT at once" \
	is_at_most "$(field most "$SITE_DIR/use")" $LIMIT
check "the limit is reached" is_equal "$(field most "$SITE_DIR/use")" $LIMIT
end_test
