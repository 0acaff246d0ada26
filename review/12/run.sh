#!/usr/bin/env bash
# The three core machines are replaced one after the other while one edge machine
# is first cut off from the core and then stands still; its settings then name
# the new ones.  A key is taken away later.  TROUBLE=0: the edge machine is
# neither cut off nor frozen.
PROXIED=1
. "$(dirname "$0")/../lib-3.sh"

CUT="$TMP/cut"
start_world
for n in 0 1 2 3 4 5; do
	ip=$(core_ip $n)
	start "cut$n" "$STANDIN/cut" "$ip:$PEER_PORT" "$(inner_ip $n):$PEER_PORT" \
		"$(edge_ip 0)" "$CUT"
done
for n in 0 1 2; do core_conf $n 0 1 2; start_core $n; done
for n in 0 1 2 3; do edge_conf $n 0 1 2; start_edge $n; done
config "$TMP/v1" 1 register '"k1", "k2"'
order POST /api/config/replace "$TMP/v1" 20 0 1 2 || cannot "no first state"
for n in 0 1; do
	wait_ready $n || cannot "edge-$n is not ready"
	request $n before-$n /tag/1 k2
	[ "$STATUS" = 200 ] || cannot "no request is served"
done
sleep 4

# Each core machine is removed as its successor starts, and the next one 4.1 s
# after that (catch_up_s is 4).  The relay is cut off for 5.4 s, and stands still
# from just before the cut heals until the last one is gone.
mark
if [ "$TROUBLE" = 1 ]; then
	record "edge-0 is cut off from the core"
	touch "$CUT"
fi
FOUND=false
at 100
stop_one core0 TERM
core_conf 3 0 1 2
start_core 3
at 4200
stop_one core1 TERM
core_conf 4 1 2 3
start_core 4
if [ "$TROUBLE" = 1 ]; then
	at 5250
	stop_one edge0 STOP
	stopped=$(since)
	at 5400
	rm -f "$CUT"
	within "the cut" "$(since)" 5500
fi
at 8320
stop_one core2 TERM
core_conf 5 2 3 4
start_core 5
if [ "$TROUBLE" = 1 ]; then
	at 8650
	stop_one edge0 CONT
	within "the freeze" $(($(since) - stopped)) 3500
fi
for n in 0 1 2; do gone core$n; done
sleep 5 # catch_up_s, for the last one
for n in 0 1 2 3; do
	edge_conf $n 3 4 5
	stop_one edge$n HUP
done
sleep 8 # contact_ms is 3 s

config "$TMP/v2" 2 archive '"k1"'
order POST /api/config/replace "$TMP/v2" 20 3 4 5 || cannot "no second state"
sleep 4 # config_apply_ms is 2 s
for i in 1 2 3 4 5 6; do
	for n in 0 1; do
		request $n dropped-$n-$i /tag/$i k2
		request $n moved-$n-$i /tag/$i k1
	done
	sleep 2
done
wait_ready 0 && record "edge-0 says that it is ready"
dropped=$(grep -c 'ran id=dropped-' "$TMP/log.server")
moved=$(grep -c 'server i-[12] ran id=moved-' "$TMP/log.server")
if [ "$dropped" -gt 0 ] || [ "$moved" -gt 0 ]; then
	record "BROKEN: CONFIG, $dropped requests ran with the dropped key," \
		"$moved ran at the old service"
	exit 1
fi
record "held"
exit 0
