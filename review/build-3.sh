#!/bin/sh
# Builds the stand-ins of the third review into target/review-3.
set -e
cd "$(dirname "$0")/standin-3"
out=../../target/review-3
mkdir -p "$out"
for p in platform server ask cut kept; do
	${CC:-cc} -std=gnu11 -O2 -Wall -Wextra -Werror -D_GNU_SOURCE -pthread \
		-o "$out/$p" "$p.c" http.c
done
