#!/usr/bin/env bash
# Relays, their group, endpoints, callers and an operator, with nothing wrong:
# every answer is checked (tests/soak).
. "$(dirname "$0")/lib.sh"
"$BIN/soak" -b "$BIN" -s 1 -t 0 || exit 1
