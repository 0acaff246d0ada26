#!/usr/bin/env bash
# A relay on a small machine, and clients that exceed the limits: it keeps to
# the memory and descriptors of its settings and answers an ordinary request
# while they stand.  Before clients were bounded, each crowd but those of bodies
# over the limit and of heads made it hold more than its machine has.  One play
# by hand: bash tests/e2e_clients_relay.sh CASE
. "$(dirname "$0")/lib.sh"
. tests/t_clients.sh

MEMORY_MB=64
MAX_FDS=500
BODY_BYTES=$((4 << 20))
ALL="calm short chunks ones whole held over unlimited silent heads unread mixed"

printf '%064d\n' 7 >"$TMP/key"
read -r PEER API FRONT READY <<<"$("$BIN/soak" -p)"
start_fake origin origin
cat >"$TMP/m.json" <<JSON
{"name": "m", "domain": "z1", "peer": "127.0.0.1:$PEER",
 "api": "127.0.0.1:$API", "data_dir": "$TMP/data", "found": true,
 "cluster_key_file": "$TMP/key", "platform": "$(port_of origin)",
 "seeds": ["127.0.0.1:$API"]}
JSON
cat >"$TMP/r.json" <<JSON
{"name": "r", "domain": "z1", "listen": "127.0.0.1:$FRONT",
 "ready": "127.0.0.1:$READY", "peer": "127.0.0.2:$PEER",
 "cluster_key_file": "$TMP/key", "platform": "$(port_of origin)",
 "memory_mb": $MEMORY_MB, "max_fds": $MAX_FDS,
 "seeds": ["127.0.0.1:$API"]}
JSON
configure () {
	curl -sf -m 3 -o /dev/null -d '{"version":1,"services":[{"name":"s",
		"max_connections":1000}],"routes":[{"name":"r","host":"h",
		"path_prefix":"/","kind":"idempotent","timeout_ms":20000,
		"service":"s","public":true}]}' \
		"http://127.0.0.1:$API/api/config/replace"
}
head -c 100000 /dev/zero >"$TMP/body"
head -c $BODY_BYTES /dev/zero >"$TMP/largest"
request () { # FILE
	[ "$(curl -s -m 10 -o /dev/null -w '%{http_code}' -H "Host: h" \
		-H "X-Request-Id: $RANDOM$RANDOM" --data-binary @"$1" \
		"http://127.0.0.1:$FRONT/")" = 200 ]
}
# One request for each machine's memory, so that the peak is of this crowd.
restart () {
	stop r KILL
	start r "$BIN/relayd" -f "$TMP/r.json"
	wait_for 15 request "$TMP/body"
}
end_crowd () {
	stop c KILL
	rm -f "$TMP/c.stand"
}
play () { # CASE ARGS...
	local name=$1
	shift
	restart
	crowd c -a "127.0.0.1:$FRONT" "$@"
	within r "$name"
	wait_for 20 request "$TMP/body"
	within r "$name, then an ordinary request"
	end_crowd
}

start m "$BIN/groupd" -f "$TMP/m.json"
wait_for 15 configure
for name in ${*:-$ALL}; do
	case $name in
	calm)
		restart
		check "a body of the full limit was refused" \
			request "$TMP/largest"
		within r calm
		;;
	short) play short -k short -n 60 -b $BODY_BYTES -r 2 ;;
	chunks) play chunks -k chunks -n 60 -b $BODY_BYTES -r 2 ;;
	ones) play ones -k ones -n 60 -b $((BODY_BYTES / 2)) -r 1 ;;
	whole) play whole -k whole -n 60 -b $BODY_BYTES -r 2 ;;
	held) play held -k whole -n 60 -b $BODY_BYTES -u /held/ -r 2 ;;
	over) play over -k short -n 60 -b $((64 << 20)) ;;
	unlimited) play unlimited -k unlimited -n 60 -b $((64 << 20)) ;;
	silent) play silent -k silent -n 800 ;;
	heads) play heads -k heads -n 200 -b 15000 ;;
	unread) play unread -k unread -n 150 -u /large/ -q 20 ;;
	mixed)
		restart
		crowd c1 -a "127.0.0.1:$FRONT" -k short -n 20 -b $BODY_BYTES
		crowd c2 -a "127.0.0.1:$FRONT" -k unread -n 40 -u /large/ -q 20
		crowd c3 -a "127.0.0.1:$FRONT" -k short -n 300 -b 100000
		crowd c -a "127.0.0.1:$FRONT" -k silent -n 300
		within r mixed
		wait_for 20 request "$TMP/body"
		within r "mixed, then an ordinary request"
		for crowd in c1 c2 c3; do stop $crowd KILL; done
		end_crowd
		;;
	*) fail "no such case: $name" ;;
	esac
done
echo "e2e_clients_relay: passed"
