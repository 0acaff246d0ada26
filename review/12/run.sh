#!/usr/bin/env bash
# The three core machines are replaced while one edge machine is cut off from
# the core for 5 s; its settings then name the new ones.  A key is taken away
# later.  TROUBLE=0: the edge machine isn't cut off.
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

# One machine is lost at a time: the first until its successor has had
# catch_up_s (4 s), the others when theirs have had it.
began=$(date +%s%3N)
if [ "$TROUBLE" = 1 ]; then
	record "edge-0 is cut off from the core"
	touch "$CUT"
fi
sleep 0.1
stop_one core0 TERM
FOUND=false
for n in 3 4 5; do core_conf $n 0 1 2; start_core $n; done
sleep 4.3
stop_one core1 TERM
sleep 0.3
stop_one core2 TERM
sleep 0.4
rm -f "$CUT"
record "healed after $(($(date +%s%3N) - began)) ms"
for n in 0 1 2; do gone core$n; done
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
