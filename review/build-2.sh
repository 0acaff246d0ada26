#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2.
cd "$(dirname "$0")/.." || exit 1
mkdir -p target/review-2
${CC:-cc} -std=gnu11 -D_GNU_SOURCE -O2 -g -Wall -Wextra -pthread \
	-o target/review-2/world review/standin-2/*.c
