#!/bin/sh
# Guards against: pages show output that the programs no longer print. Runs the
# "sh" blocks of each page in order, in one shell, and looks in the output of
# each for every line of the "text" block after it. All numbers count as equal,
# and so do all long hexadecimal words. If SHOW is set, prints the output as well.
set -u
cd "$(dirname "$0")/../.." || exit 2
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
failed=0

# Replaces everything that differs between runs.
normalize() {
	sed -E 's/"task":"[^"]*"/"task":T/; s/[0-9a-f]{12,}|[0-9a-f]{8}[.]{3}/X/g
		s/[0-9]+/N/g; s/ +/ /g; s/[ \r]+$//'
}

check_page() {
	page=$1
	rm -rf "${dir:?}"/*
	awk -v dir="$dir" '
		/^```sh$/ { n++; kind = "sh"; print "echo \"@@ " n "\""; next }
		/^```text$/ { kind = "text"; next }
		/^```/ { kind = ""; next }
		kind == "sh" { print }
		kind == "text" { print > (dir "/text." n) }
	' "$page" >"$dir/script"
	# A page that fails halfway must leave no processes running.
	{
		echo 'set -eu; trap abort_site EXIT'
		cat "$dir/script"
		echo 'trap - EXIT; echo "@@ end"'
	} >"$dir/run"
	SITE_DIR=$dir/site
	export SITE_DIR
	mkdir "$SITE_DIR"
	bash "$dir/run" >"$dir/out" 2>&1
	grep -qx '@@ end' "$dir/out" || {
		echo "FAILED $page: it did not run to its end"
		failed=1
	}
	for text in "$dir"/text.*; do
		n=${text##*.}
		awk -v n="$n" '/^@@ / { on = ($2 == n); next } on' "$dir/out" |
			normalize >"$dir/got"
		normalize <"$text" >"$dir/wanted"
		while IFS= read -r line; do
			grep -qxF -- "$line" "$dir/got" || {
				echo "FAILED $page, block $n: no line \"$line\" in"
				cat "$dir/got"
				failed=1
			}
		done <"$dir/wanted"
	done
	echo "$page: $(grep -c '^@@ [0-9]' "$dir/out") blocks run"
	[ -z "${SHOW:-}" ] || cat "$dir/out"
}

for page in docs/callers.md docs/operators.md; do
	check_page "$page"
done
exit $failed
