#!/usr/bin/env bash
# A client keeps a channel, asks for the head of an answer with a key that was
# taken away, and goes on with its other key.  TROUBLE=0: the key stays.
. "$(dirname "$0")/../lib-3.sh"

start_world
for n in 0 1 2; do core_conf $n 0 1 2; start_core $n; done
edge_conf 0 0 1 2
start_edge 0
config "$TMP/v1" 1 register '"k1", "k2"'
order POST /api/config/replace "$TMP/v1" 20 0 1 2 || cannot "no first state"
wait_ready 0 || cannot "edge-0 is not ready"
request 0 before /tag/1 k2
[ "$STATUS" = 200 ] || cannot "no request is served"

mkfifo "$TMP/lines"
"$STANDIN/kept" "$(edge_ip 0):8227" 1500 ladder.example "$TMP/log.client" \
	<"$TMP/lines" &
PID[kept]=$!
exec 3>"$TMP/lines"
echo "HEAD /tag/2 kept-1 k2" >&3
echo "GET /tag/3 kept-2 k1" >&3
sleep 1
keys='"k1", "k2"'
[ "$TROUBLE" = 1 ] && keys='"k1"'
config "$TMP/v2" 2 register "$keys"
order POST /api/config/replace "$TMP/v2" 20 0 1 2 || cannot "no second state"
sleep 4 # config_apply_ms is 2 s
for i in 3 5 7; do
	echo "HEAD /tag/4 kept-$i k2" >&3
	echo "GET /tag/5 kept-$((i + 1)) k1" >&3
done
exec 3>&-
wait "${PID[kept]}"
rc=$?
unset "PID[kept]"
case $rc in
0)
	record "held"
	exit 0
	;;
1)
	record "BROKEN: MIXED, the client got bytes that are no answer"
	exit 1
	;;
esac
cannot "the client got no answer"
