#!/usr/bin/env bash
# A short seeded run of the soak, and the seeds that ever failed; by hand:
# for s in $(seq 1 50); do build/bin/soak -s $s -t 20000; done
. "$(dirname "$0")/lib.sh"
status=0
for seed in 3 17 29; do
	"$BIN/soak" -b "$BIN" -s $seed -t 5000 >"$TMP/soak.$seed" 2>&1 &
	PID[soak$seed]=$!
done
for seed in 3 17 29; do
	wait "${PID[soak$seed]}" || status=1
	cat "$TMP/soak.$seed"
done
exit $status
