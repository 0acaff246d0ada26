#!/usr/bin/env bash
# Two core machines are added, one after the other, and then two of the old
# three removed; later one machine of the core loses its disk.  TROUBLE=0: no disk is lost.
# REPLACE=0: nothing is replaced before (not part of the verdict's claim).
. "$(dirname "$0")/../lib-3.sh"

RECOVERY_MS=12000 # recovery_s
READ_MS=27000     # reads are tried for so long after the machine is back

LIVE="0 1 2"
start_world
for n in 0 1 2; do core_conf $n 0 1 2; start_core $n; done
for n in 0 1; do edge_conf $n 0 1 2; start_edge $n; done
config "$TMP/v1" 1 register '"k1"'
order POST /api/config/replace "$TMP/v1" 20 0 1 2 || cannot "no first state"
for n in 0 1; do wait_ready $n || cannot "edge-$n is not ready"; done
request 0 before /tag/1 k1
[ "$STATUS" = 200 ] || cannot "no request is served"

FOUND=false
if [ "${REPLACE:-1}" = 1 ]; then
	LIVE="2 3 4"
	for n in 3 4; do
		core_conf $n 0 1 2
		start_core $n
		sleep 5 # catch_up_s is 4
	done
	stop_one core0 TERM
	gone core0
	sleep 6
	stop_one core1 TERM
	gone core1
	sleep 6
fi
config "$TMP/v2" 2 register '"k1", "k2"'
# shellcheck disable=SC2086
order POST /api/config/replace "$TMP/v2" 10 $LIVE || cannot "no second state"

if [ "$TROUBLE" = 1 ]; then
	lost=${LIVE##* }
	stop_one "core$lost" KILL
	gone "core$lost"
	record "core-$lost loses its disk"
	rm -rf "$TMP/data$lost"
	sleep 1
	# shellcheck disable=SC2086
	core_conf "$lost" $LIVE
	start_core "$lost"
fi

began=$(date +%s%3N)
newest=0
late=0
while [ $(($(date +%s%3N) - began)) -lt $READ_MS ]; do
	for n in $LIVE; do
		read_version "$n"
		[ "${VERSION:-0}" -gt $newest ] && newest=$VERSION
		[ $(($(date +%s%3N) - began)) -gt $RECOVERY_MS ] &&
			[ "${VERSION:-0}" -ge 2 ] && late=$VERSION
	done
	[ "$late" != 0 ] && break
	sleep 0.5
done
config "$TMP/v3" 3 register '"k1"'
# shellcheck disable=SC2086
order POST /api/config/replace "$TMP/v3" 4 $LIVE ||
	record "a third desired state is not acknowledged either"
if [ "$late" = 0 ]; then
	record "BROKEN: CONFIG, version 2 was acknowledged, newest read: $newest"
	exit 1
fi
record "held: version $late is read back"
exit 0
