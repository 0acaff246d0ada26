#!/usr/bin/env bash
# Runs relays, their group, endpoints, clients and an operator without faults and
# checks every answer (tests/soak).
. "$(dirname "$0")/lib.sh"
"$BIN/soak" -b "$BIN" -s 1 -t 0 || exit 1
