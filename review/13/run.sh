#!/usr/bin/env bash
# One core machine is cut off from the others for 11 s, in which these are
# replaced one after the other; later one of the new ones loses its disk.
# TROUBLE=0: the machine isn't cut off; the disk is lost all the same.
PROXIED=1
. "$(dirname "$0")/../lib-3.sh"

RECOVERY_MS=12000 # recovery_s
READ_MS=27000     # reads are tried for so long after the machine is back

CUT="$TMP/cut"
start_world
for n in 0 1 2 3 4; do
	ip=$(core_ip $n)
	start "cut$n" "$STANDIN/cut" "$ip:$PEER_PORT" "$(inner_ip $n):$PEER_PORT" \
		"$(inner_ip 2)" "$CUT"
done
for n in 0 1 2; do core_conf $n 0 1 2; start_core $n; done
edge_conf 0 0 1 2
start_edge 0
config "$TMP/v1" 1 register '"k1"'
order POST /api/config/replace "$TMP/v1" 20 0 1 2 || cannot "no first state"
wait_ready 0 || cannot "edge-0 is not ready"
sleep 4

FOUND=false
began=$(date +%s%3N)
if [ "$TROUBLE" = 1 ]; then
	record "core-2 is cut off from the other core machines"
	touch "$CUT"
fi
core_conf 3 0 1 2
start_core 3
sleep 4.2 # catch_up_s is 4
stop_one core0 TERM
gone core0
sleep 2.3
core_conf 4 1 2 3
start_core 4
sleep 4.2
stop_one core1 TERM
sleep 0.3
rm -f "$CUT"
within "the cut" $(($(date +%s%3N) - began)) 12000
gone core1
# The settings now name the machines that are there.
core_conf 2 2 3 4
stop_one core2 HUP
sleep 9

config "$TMP/v2" 2 register '"k1", "k2"'
order POST /api/config/replace "$TMP/v2" 10 2 3 4 || cannot "no second state"
stop_one core3 KILL
gone core3
record "core-3 loses its disk"
rm -rf "$TMP/data3"
sleep 1
core_conf 3 2 3 4
start_core 3

began=$(date +%s%3N)
newest=0
late=0
while [ $(($(date +%s%3N) - began)) -lt $READ_MS ]; do
	for n in 2 3 4; do
		read_version $n
		[ "${VERSION:-0}" -gt $newest ] && newest=$VERSION
		[ $(($(date +%s%3N) - began)) -gt $RECOVERY_MS ] &&
			[ "${VERSION:-0}" -ge 2 ] && late=$VERSION
	done
	[ "$late" != 0 ] && break
	sleep 0.5
done
if [ "$late" = 0 ]; then
	record "BROKEN: CONFIG, version 2 was acknowledged, newest read: $newest"
	exit 1
fi
record "held: version $late is read back"
exit 0
