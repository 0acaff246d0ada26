#!/usr/bin/env bash
# Runs relays, their group, endpoints, clients and an operator without faults and
# checks every answer (tests/soak); then with endpoints that answer errors, where
# requests run twice and are billed once; then with endpoints that send bytes without end.
. "$(dirname "$0")/lib.sh"
"$BIN/soak" -b "$BIN" -s 1 -t 0 || exit 1
"$BIN/soak" -b "$BIN" -s 2 -t 0 -e || exit 1
"$BIN/soak" -b "$BIN" -s 3 -t 0 -f || exit 1
