#!/usr/bin/env bash
# Planned stops of relays, alone and two at once, beside callers that send their
# next request with the end of an answer, bodies that come late, and changes of
# the configuration (soak -l): each request is answered whole or refused as not
# run; by hand: for s in $(seq 1 50); do build/bin/soak -s $s -t 12000 -l; done
. "$(dirname "$0")/lib.sh"
status=0
# SEED:MS of stops:MS of grace
runs="1:9000:8000 2:9000:8000 3:8000:3000 4:6000:1000"
for run in $runs; do
	IFS=: read -r seed ms grace <<<"$run"
	"$BIN/soak" -b "$BIN" -s "$seed" -t "$ms" -l -g "$grace" \
		>"$TMP/stop.$seed" 2>&1 &
	PID[stop$seed]=$!
done
for run in $runs; do
	wait "${PID[stop${run%%:*}]}" || status=1
	cat "$TMP/stop.${run%%:*}"
done
exit $status
