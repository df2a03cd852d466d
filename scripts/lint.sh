#!/bin/sh
# Runs the formatter and the linters on all C files. Exits with status 1 on any
# finding.
set -eu
cd "$(dirname "$0")/.."

files=$(find src platform tests bench -name '*.c' -o -name '*.h' | sort)
sources=$(find src platform tests bench -name '*.c' | sort)

# shellcheck disable=SC2086
clang-format --dry-run --Werror $files

flags="-std=gnu11 -D_GNU_SOURCE $(pkg-config --cflags libevent glib-2.0 \
	jansson libsodium cmocka)"
mkdir -p build/cppcheck
# shellcheck disable=SC2086
cppcheck --quiet --std=c11 --error-exitcode=1 --inline-suppr -j "$(nproc)" \
	--cppcheck-build-dir=build/cppcheck \
	--enable=warning,performance,portability \
	--suppress=normalCheckLevelMaxBranches $sources

# clang-tidy also prints counts of suppressed warnings, which are shown only with
# findings. A stamp marks the last clean run of a file, which is only checked
# again after a change to it or to a header.
mkdir -p build/tidy
stale=
newest=$(find src platform tests bench -name '*.h' -newer build/tidy/.headers 2>/dev/null |
	head -n 1)
[ -f build/tidy/.headers ] && [ -z "$newest" ] || rm -f build/tidy/*.ok
for f in $sources; do
	stamp=build/tidy/$(echo "$f" | tr / _).ok
	[ "$stamp" -nt "$f" ] || stale="$stale $f"
done
if [ -n "$stale" ]; then
	# shellcheck disable=SC2086
	printf '%s\n' $stale | xargs -P "$(nproc)" -I{} sh -c '
		clang-tidy --quiet --warnings-as-errors="*" "$1" -- $2 \
			2>build/tidy/err.$$ || { cat build/tidy/err.$$; exit 1; }
		rm -f build/tidy/err.$$
		touch "build/tidy/$(echo "$1" | tr / _).ok"
	' sh {} "$flags"
fi
touch build/tidy/.headers
