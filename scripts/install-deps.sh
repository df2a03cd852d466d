#!/bin/sh
# Installs the Debian packages that are needed to build and check camphorshed, if
# any is missing.
set -eu

packages="gcc make pkg-config libevent-dev libevhtp-dev libmsgpack-dev
liblog4c-dev libinih-dev libglib2.0-dev libcmocka-dev libxxhash-dev
libsodium-dev libjansson-dev libonig-dev libssl-dev clang libclang-rt-14-dev clang-format
clang-tidy cppcheck python3 curl procps man-db"

missing=
for p in $packages; do
	dpkg-query -W -f '${Status}' "$p" 2>/dev/null |
		grep -q 'install ok installed' || missing="$missing $p"
done
[ -n "$missing" ] || exit 0
echo "installing:$missing" >&2
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
# shellcheck disable=SC2086
apt-get install -y -qq --no-install-recommends $missing >/dev/null
