#!/bin/sh
# Install the named Debian packages, or nothing where all are present.
missing=
for p in "$@"; do
	dpkg -s "$p" >/dev/null 2>&1 || missing="$missing $p"
done
[ -z "$missing" ] && exit 0
echo "installing:$missing"
apt-get update >/dev/null || exit 1
for p in $missing; do
	apt-get install -y "$p" >/dev/null || exit 1
done
