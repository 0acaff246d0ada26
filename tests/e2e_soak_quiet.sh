#!/usr/bin/env bash
# Sound endpoints that fall silent for 0.8 to 1.8 s, and configurations that
# change, with no other fault (soak -q); by hand:
# for s in $(seq 1 50); do build/bin/soak -s $s -t 10000 -q; done
. "$(dirname "$0")/lib.sh"
status=0
seeds="1 4 5"
for seed in $seeds; do
	"$BIN/soak" -b "$BIN" -s "$seed" -t 6000 -q >"$TMP/quiet.$seed" 2>&1 &
	PID[quiet$seed]=$!
done
for seed in $seeds; do
	wait "${PID[quiet$seed]}" || status=1
	cat "$TMP/quiet.$seed"
done
exit $status
