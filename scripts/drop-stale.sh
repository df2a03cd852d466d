#!/bin/sh
# drop-stale.sh DIR COMMAND: removes from the build folder DIR what was built of
# other sources than the present ones, with another compiler command, or for
# another kind of machine. A folder that was carried over may hold objects that
# are newer than all sources, which make takes for up to date.
set -eu
dir=$1
command=$2
mkdir -p "$dir"
record=$dir/.inputs
changed=$dir/.changed.$$
trap 'rm -f "$changed"' EXIT
# shellcheck disable=SC2086 # the command holds the compiler's arguments
kind="$($command -dumpmachine) $($command -dumpversion) $command"

drop_derived() {
	find "$dir" -type f \( -name '*.a' -o -perm -100 \) -exec rm -f {} +
}

if [ "$(head -n 1 "$record" 2>/dev/null)" != "# $kind" ]; then
	find "$dir" -name '*.o' -exec rm -f {} +
	drop_derived
else
	# An object's .d file names its headers, relative to the includer.
	LC_ALL=C sha256sum -c "$record" 2>/dev/null |
		sed -n 's/: FAILED.*//; t name; d; :name; s|.*/||p' >"$changed"
	if [ -s "$changed" ]; then
		find "$dir" -name '*.d' -exec grep -lFf "$changed" {} + |
			sed 's/d$/o/' | xargs -r rm -f
		drop_derived
	fi
fi
{
	echo "# $kind"
	find src platform tests bench -name '*.[ch]' | LC_ALL=C sort |
		xargs sha256sum
} >"$record.$$"
mv "$record.$$" "$record"
