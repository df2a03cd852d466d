#!/bin/sh
# Guards against: of two operators who change the same revision, both or none
# succeed, or the one who is refused isn't told what changed meanwhile.
set -u
cd "$(dirname "$0")/../.."
. tests/process/lib.sh
require start_site

# apply NAME ENTRY REVISION: the change of one operator. The exit status goes to
# NAME.rc.
apply() {
	ctl_at "$2" --no-wait --expected "$3" team set "$1" --share 1 \
		--limit 4 >"$SITE_DIR/$1.out" 2>&1
	echo $? >"$SITE_DIR/$1.rc"
}

is_equal_revision() { [ "$(revision 1)" = "$1" ]; }

for round in 1 2 3 4 5 6; do
	old_revision=$(revision 1)
	# Even rounds use one entry, odd ones entries of two data centres.
	apply "left$round" 1 "$old_revision" &
	left=$!
	apply "right$round" $((round % 2 * 2 + 1)) "$old_revision" &
	wait $left
	wait $!
	read -r l <"$SITE_DIR/left$round.rc"
	read -r r <"$SITE_DIR/right$round.rc"
	check "round $round: one succeeds, the other gets a conflict ($l, $r)" \
		[ "$l $r" = "0 5" -o "$l $r" = "5 0" ]
	if [ "$l" = 0 ]; then
		accepted=left$round refused=right$round
	else
		accepted=right$round refused=left$round
	fi
	check "round $round: the refused operator is told the difference" \
		grep -q "+ team $accepted " "$SITE_DIR/$refused.out"
	check "round $round: the revision grows by one" wait_for 7 \
		is_equal_revision $((old_revision + 1))
	ctl document get >"$SITE_DIR/document"
	check "round $round: the accepted change is in force" \
		grep -q "$accepted" "$SITE_DIR/document"
	check "round $round: the refused one is not" \
		[ "$(grep -c "$refused" "$SITE_DIR/document")" = 0 ]
done
end_test
