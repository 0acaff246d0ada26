#!/usr/bin/env bash
# A relay gets SIGTERM.  Clients that keep their channels have streams running
# on it, which end some seconds later, and send their next request at once.
. "$(dirname "$0")/../lib.sh"

CHANNELS=6
for i in 1 2 3; do member $i true; done
for i in 1 2 3; do server "app-$i" $i; done
list "$(entry app-1 1 app zone-1)" "$(entry app-2 2 app zone-2)" \
	"$(entry app-3 3 app zone-3)"
platform
wait_for 15 put_config 1 5 || cannot_run "no configuration"
relay 1
wait_for 15 is_ready 1 || cannot_run "the relay is not ready"

for ((i = 1; i <= CHANNELS; i++)); do
	# 4.8 s each: 40 events, 120 ms between two.
	$R/client "$NET.11:$FRONT" "$RECORD" $KEY 12000 \
		"first-$i" /stream/a "events=40 gap_ms=120" \
		"second-$i" /stream/b "events=40 gap_ms=120" &
	CLIENTS+=($!)
done
sleep 1
if [ "$TROUBLE" = 1 ]; then
	note "SIGTERM to the relay"
	kill -TERM "${PID[edge-1]}"
	wait_for 8 eval '! alive edge-1' || {
		note "SIGKILL to the relay, grace_s after SIGTERM"
		kill -KILL "${PID[edge-1]}"
	}
fi
wait "${CLIENTS[@]}"
sleep 0.5

for ((i = 1; i <= CHANNELS; i++)); do
	grep -q "client answer first-$i whole status=200" "$RECORD" ||
		note "first-$i was not served"
	# Passed on to a server, and ended without a complete answer.
	if grep -q "runs second-$i " "$RECORD" &&
		grep -Eq "client answer second-$i (cut|none)" "$RECORD"; then
		note "LOST: second-$i ran at a server and its answer was cut"
		LOST=$((${LOST:-0} + 1))
	fi
done
note "lost requests: ${LOST:-0}"
[ "${LOST:-0}" = 0 ]
