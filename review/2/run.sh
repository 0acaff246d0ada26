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
	TERM_MS=$(date +%s%3N)
	kill -TERM "${PID[edge-1]}"
	wait_for 8 eval '! alive edge-1' || {
		note "SIGKILL to the relay, grace_s after SIGTERM"
		kill -KILL "${PID[edge-1]}"
	}
fi
wait "${CLIENTS[@]}"
sleep 0.5

time_of () { # TEXT: ms of the first line with it
	grep -m 1 -F "$1" "$RECORD" | cut -d ' ' -f 1
}

# The rule counts a request that was passed on and ended without a complete
# answer, until 1 s after grace_s.  Not counted: one that was sent no later than
# 3 s after the SIGTERM, or whose server broke off, or whose time was up.
for ((i = 1; i <= CHANNELS; i++)); do
	grep -q "client answer first-$i whole status=200" "$RECORD" ||
		cannot_run "first-$i was not served"
	grep -q "runs second-$i " "$RECORD" &&
		grep -Eq "client answer second-$i (cut|none)" "$RECORD" || continue
	SENT=$(time_of "client sends second-$i")
	CUT=$(time_of "client answer second-$i ")
	[ $((SENT - ${TERM_MS:-SENT})) -gt 3000 ] || continue
	[ $((CUT - TERM_MS)) -le 9000 ] && [ $((CUT - SENT)) -lt 12000 ] || continue
	grep -q "ends second-$i left" "$RECORD" || continue
	note "LOST: second-$i, sent $((SENT - TERM_MS)) ms after SIGTERM, was" \
		"passed on and cut after $((CUT - SENT)) ms"
	LOST=$((${LOST:-0} + 1))
done
note "lost requests: ${LOST:-0}"
[ "${LOST:-0}" = 0 ]
