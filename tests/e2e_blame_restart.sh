#!/usr/bin/env bash
# A request that crashes its endpoints stays barred after all relays and members
# were killed at once.  It was forgotten, and crashed each endpoint again.
. "$(dirname "$0")/lib.sh"
. tests/t_answers.sh

read -r PEER API FRONT READY <<<"$("$BIN/soak" -p)"
printf '%064d\n' 7 >"$TMP/key"
answer crash reset ''
answer other keep 'HTTP/1.1 200 OK' "${HEAD[@]}" 'Content-Length: 2' 'ok'
LIST=
for i in 1 2 3; do
	start s$i "$BIN/fake-raw" -p "$TMP/s$i.port" -d "$TMP/answers"
	wait_for 10 test -s "$TMP/s$i.port"
	LIST="$LIST${LIST:+,}{\"id\":\"i-$i\",\"service\":\"s\",\"address\":\"$(port_of s$i)\",\"zone\":\"z$i\",\"version\":\"v1\",\"slots\":9,\"state\":\"ready\",\"cold_remaining_ms\":0}"
done
LIST="{\"instances\":[$LIST],\"next\":null}"
answer instances keep 'HTTP/1.1 200 OK' 'Content-Type: application/json' \
	"Content-Length: ${#LIST}" "$LIST"
for i in 1 2 3; do
	cat >"$TMP/m$i.json" <<JSON
{"name": "m$i", "domain": "z$i", "peer": "$NET.$i:$PEER",
 "api": "$NET.$i:$API", "data_dir": "$TMP/d$i", "found": true,
 "cluster_key_file": "$TMP/key", "platform": "$(port_of s1)",
 "lease_ms": 1000,
 "seeds": ["$NET.1:$API", "$NET.2:$API", "$NET.3:$API"]}
JSON
	cat >"$TMP/r$i.json" <<JSON
{"name": "r$i", "domain": "z$i", "listen": "$NET.1$i:$FRONT",
 "ready": "$NET.1$i:$READY", "peer": "$NET.1$i:$PEER",
 "cluster_key_file": "$TMP/key", "platform": "$(port_of s1)",
 "seeds": ["$NET.1:$API", "$NET.2:$API", "$NET.3:$API"]}
JSON
done
launch_all () {
	local i
	for i in 1 2 3; do
		start m$i "$BIN/groupd" -f "$TMP/m$i.json"
		start r$i "$BIN/relayd" -f "$TMP/r$i.json"
	done
}
configure () {
	curl -sfL -m 3 -o /dev/null -d '{"version":1,"services":[{"name":"s",
		"max_connections":100}],"routes":[{"name":"any","host":"h",
		"path_prefix":"/any/","kind":"idempotent","timeout_ms":5000,
		"service":"s","public":true}]}' \
		"http://$NET.1:$API/api/config/replace"
}
# A request is known by its path and body.
send () { # RELAY NAME
	ask "http://$NET.1$1:$FRONT/any/" "$2" -H "Host: h" -d "$2"
}
served () { # RELAY
	[ "$(send "$1" other)" = "200 0" ]
}
crashes () {
	cat "$TMP"/s?.out | grep -cx crash
}
barred () {
	grep -q "blame change=barred kind=request" "$TMP"/m?.out
}

launch_all
wait_for 15 configure
for i in 1 2 3; do wait_for 15 served $i; done
for i in 1 2 3; do send $i crash >"$TMP/status"; done
wait_for 5 barred
# The trial that follows at once fails too; the next one is due in a minute.
wait_for 10 eval 'send 1 crash >/dev/null; [ "$(crashes)" -ge 4 ]'
sleep 2
before=$(crashes)
for i in 1 2 3; do
	stop m$i KILL
	stop r$i KILL
done
launch_all
for i in 1 2 3; do wait_for 15 served $i; done
for k in 1 2; do
	for i in 1 2 3; do send $i crash >"$TMP/status"; done
done
after=$(($(crashes) - before))
echo "$before endpoints crashed before the restart, $after after it"
check "forgotten: $after endpoints crashed again" [ $after = 0 ]
grep -q " blame-restore " "$TMP"/m?.out || fail "nothing was restored"
echo "e2e_blame_restart: passed"
