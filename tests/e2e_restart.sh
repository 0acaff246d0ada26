#!/usr/bin/env bash
# All processes of a relay deployment are killed at once and start again:
# callers that come meanwhile are served as soon as the group has a leader.
. "$(dirname "$0")/lib.sh"
"$BIN/soak" -b "$BIN" -s 1 -t 0 -r || exit 1
