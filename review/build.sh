#!/bin/sh
# Builds the stand-ins that the scripts of the cases start, into review/bin.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
for p in standin client api kill_at; do
	cc -std=gnu11 -D_GNU_SOURCE -O2 -Wall -Wextra -Werror -o bin/$p \
		standin/$p.c standin/net.c -lpthread
done
