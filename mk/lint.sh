#!/usr/bin/env bash
# clang-tidy over every C file, in parallel; a file's verdict is kept under
# build/lint until the file, a header or the checks change.
set -u
cd "$(dirname "$0")/.."
flags="-std=gnu11 -D_GNU_SOURCE -DH2O_USE_LIBUV=0 -DH2O_USE_EPOLL=1 -Ilib
	-Ifakes -Itests -Idhload -I."
for f in $(pkg-config --cflags libh2o-evloop msgpack glib-2.0 json-c); do
	flags="$flags -isystem ${f#-I}"
done
mkdir -p build/lint
headers=$(git ls-files '*.h' .clang-tidy | xargs cat | sha256sum | cut -c1-16)
export flags headers
lint_one () {
	key=build/lint/$( (echo "$headers $1"; cat "$1") | sha256sum | cut -c1-32)
	[ -e "$key" ] && return 0
	if out=$(clang-tidy --quiet "$1" -- $flags -I"$(dirname "$1")" 2>/dev/null)
	then
		touch "$key"
	else
		echo "$out"
		return 1
	fi
}
export -f lint_one
git ls-files '*.c' | xargs -P "$(nproc)" -I{} bash -c 'lint_one {}'
