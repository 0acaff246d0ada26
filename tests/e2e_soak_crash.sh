#!/usr/bin/env bash
# Requests that crash the endpoints that begin to answer them (soak -x): those
# with one prompt segment, one request that comes again, one that comes several
# times at once and crashes all servers together, and the same that is sound
# from then on; by hand:
# for s in $(seq 1 50); do build/bin/soak -s $s -x segment; done
. "$(dirname "$0")/lib.sh"
status=0
runs="segment:1 segment:2 request:1 request:2 request:5 group:1 group:2 cured:1 cured:2"
for run in $runs; do
	"$BIN/soak" -b "$BIN" -s "${run#*:}" -x "${run%:*}" \
		>"$TMP/crash.$run" 2>&1 &
	PID[crash$run]=$!
done
for run in $runs; do
	wait "${PID[crash$run]}" || status=1
	echo "-x ${run%:*}:"
	cat "$TMP/crash.$run"
done
exit $status
