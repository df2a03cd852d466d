#!/bin/sh
# Guards against: of two operators who change the same revision, both win, none
# wins, or the loser isn't told what changed meanwhile.
set -u
cd "$(dirname "$0")/../.."
. tests/process/lib.sh
require start_site

# race NAME ENTRY REVISION: one operator; exit code in NAME.rc.
race() {
	ctl_at "$2" --no-wait --expected "$3" team set "$1" --share 1 \
		--limit 4 >"$SITE_DIR/$1.out" 2>&1
	echo $? >"$SITE_DIR/$1.rc"
}

is_equal_revision() { [ "$(revision 1)" = "$1" ]; }

for round in 1 2 3 4 5 6; do
	at=$(revision 1)
	# In turn through one entry, and through entries of two data centres.
	race "left$round" 1 "$at" &
	left=$!
	race "right$round" $((round % 2 * 2 + 1)) "$at" &
	wait $left
	wait $!
	read -r l <"$SITE_DIR/left$round.rc"
	read -r r <"$SITE_DIR/right$round.rc"
	check "round $round: one wins, the other gets the conflict ($l, $r)" \
		[ "$l $r" = "0 5" -o "$l $r" = "5 0" ]
	if [ "$l" = 0 ]; then
		winner=left$round loser=right$round
	else
		winner=right$round loser=left$round
	fi
	check "round $round: the loser is told the difference" \
		grep -q "+ team $winner " "$SITE_DIR/$loser.out"
	check "round $round: one revision more" wait_for 7 \
		is_equal_revision $((at + 1))
	ctl document get >"$SITE_DIR/document"
	check "round $round: the winner's change is in force" \
		grep -q "$winner" "$SITE_DIR/document"
	check "round $round: the loser's is not" \
		[ "$(grep -c "$loser" "$SITE_DIR/document")" = 0 ]
done
end_test
