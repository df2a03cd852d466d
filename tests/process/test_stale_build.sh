#!/bin/sh
# Guards against a program of former sources: a build folder that was carried
# over is newer than the sources that were laid beside it, and `make target`
# left its objects as they were. Also against objects of another compiler.
set -eu
cd "$(dirname "$0")/../.."
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
mkdir -p "$dir/src/base" "$dir/src/cmd" "$dir/platform" "$dir/tests" \
	"$dir/bench" "$dir/build"
cp -R Makefile scripts "$dir"
cd "$dir"
touch build/.deps
printf 'const char *answer(void);\n' >src/base/answer.h
printf '#include "answer.h"\n#include "word.h"\nconst char *answer(void) { return WORD; }\n' \
	>src/base/answer.c
printf '#include <stdio.h>\n#include "../base/answer.h"\nint main(void) { return puts(answer()) < 0; }\n' \
	>src/cmd/main.c

# expect WORD MAKE_ARGUMENT...: builds; the program must print the word. All
# sources are older than what was built before.
expect() {
	word=$1
	shift
	find src Makefile -exec touch -d 2001-01-01 {} +
	make -s target "$@"
	said=$(target/camphorshed)
	[ "$said" = "$word" ] || {
		echo "FAILED: the program prints $said, expected $word" >&2
		exit 1
	}
}

printf '#ifndef WORD\n#define WORD "first"\n#endif\n' >src/base/word.h
expect first
printf '#ifndef WORD\n#define WORD "second"\n#endif\n' >src/base/word.h
expect second
expect third CC="gcc -DWORD='\"third\"'"
expect second
# An unchanged tree is not built again.
before=$(stat -c %Y%Z build/rel/src/base/answer.o)
expect second
[ "$(stat -c %Y%Z build/rel/src/base/answer.o)" = "$before" ] || {
	echo "FAILED: an unchanged source was compiled again" >&2
	exit 1
}
