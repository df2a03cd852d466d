#!/bin/sh
# Guards against: an installation lacks a file, the program refuses a sample, or
# a command does not print its usage.
set -eu
cd "$(dirname "$0")/../.."
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT

fail() {
	echo "FAILED: $*" >&2
	exit 1
}

# expect STATUS COMMAND...: runs a command, which must exit with the status. Its
# output goes to $dir/out.
expect() {
	wanted=$1
	shift
	status=0
	"$@" >"$dir/out" 2>&1 || status=$?
	[ "$status" -eq "$wanted" ] || {
		cat "$dir/out" >&2
		fail "exit status $status, expected $wanted: $*"
	}
}

prints() {
	grep -q -- "$1" "$dir/out" || {
		cat "$dir/out" >&2
		fail "no \"$1\" in the output"
	}
}

expect 0 make -s install DESTDIR="$dir/root" PREFIX=/opt/cs
root=$dir/root/opt/cs
bin=$root/bin/camphorshed
for f in bin/camphorshed share/man/man1/camphorshed.1 \
	share/camphorshed/entry.ini share/camphorshed/site.fleet.ini \
	lib/systemd/system/camphorshed.service; do
	[ -f "$root/$f" ] || fail "$f is not installed"
done
grep -q '^ExecStart=/opt/cs/bin/camphorshed entry' \
	"$root/lib/systemd/system/camphorshed.service" ||
	fail "the unit starts another program than the installed one"

# Samples, and the required mode of a file with secrets.
install -m 600 "$root/share/camphorshed/entry.ini" "$dir/entry.ini"
expect 0 "$bin" check-config "$dir/entry.ini"
chmod 644 "$dir/entry.ini"
expect 2 "$bin" check-config "$dir/entry.ini"
prints "expected 0600"
expect 0 "$bin" check-config "$root/share/camphorshed/site.fleet.ini"
expect 0 "$bin" ctl document check "$root/share/camphorshed/site.fleet.ini"

# Usage of every command.
expect 0 "$bin" --help
prints "^usage: camphorshed"
expect 0 "$bin" --version
prints "^camphorshed [0-9]"
for command in entry check-config ctl; do
	for option in --help -h; do
		expect 0 "$bin" $command $option
		prints "^usage: camphorshed $command"
	done
	expect 0 "$bin" $command --version
	prints "^camphorshed [0-9]"
	expect 2 "$bin" $command
	prints "usage: camphorshed $command"
	expect 2 "$bin" $command --no-such-option
	prints "usage: camphorshed $command"
done
expect 2 "$bin"
prints "^usage: camphorshed"
expect 2 "$bin" nonsense
prints 'unknown command "nonsense"'
prints "^usage: camphorshed"
expect 0 "$bin" ctl team set --help
expect 2 "$bin" ctl team nonsense
prints 'unknown verb "team nonsense"'
prints "usage: camphorshed ctl"
expect 2 "$bin" ctl --entry 127.0.0.1:1 team set errata
prints "is missing"
expect 4 "$bin" ctl --entry 127.0.0.1:1 status

# The manual page names every verb and has no warnings.
page=$root/share/man/man1/camphorshed.1
expect 0 man -l --warnings "$page"
MANWIDTH=120 man -l --warnings "$page" >"$dir/page" 2>"$dir/warnings"
[ ! -s "$dir/warnings" ] || fail "manual page: $(cat "$dir/warnings")"
"$bin" ctl help | sed -n 's/^  \([a-z][a-z-]*\( [a-z-]*\)\{0,1\}\).*/\1/p' \
	>"$dir/verbs"
[ "$(wc -l <"$dir/verbs")" -gt 15 ] || fail "ctl help lists too few verbs"
while read -r verb; do
	grep -q -- "$verb" "$dir/page" || fail "no verb \"$verb\" in the page"
done <"$dir/verbs"
echo "installation, samples, usage and manual page are valid"
