#!/usr/bin/env bash
# Broken answers of an endpoint behind a relay: none reaches a client as a
# complete answer, and each whole answer does.  Before, a client got the part
# of a body without a length that came before a reset as all of it, where the
# request was still being sent.
. "$(dirname "$0")/lib.sh"
. tests/t_answers.sh

UPLOAD_BYTES=$((4 << 20))

printf '%064d\n' 7 >"$TMP/key"
read -r PEER API FRONT READY <<<"$("$BIN/soak" -p)"
start s "$BIN/fake-raw" -p "$TMP/s.port" -d "$TMP/answers"
wait_for 10 test -s "$TMP/s.port"
cat >"$TMP/m.json" <<JSON
{"name": "m", "domain": "z1", "peer": "127.0.0.1:$PEER",
 "api": "127.0.0.1:$API", "data_dir": "$TMP/data", "found": true,
 "cluster_key_file": "$TMP/key", "platform": "$(port_of s)",
 "seeds": ["127.0.0.1:$API"]}
JSON
cat >"$TMP/r.json" <<JSON
{"name": "r", "domain": "z1", "listen": "127.0.0.1:$FRONT",
 "ready": "127.0.0.1:$READY", "peer": "127.0.0.2:$PEER",
 "cluster_key_file": "$TMP/key", "platform": "$(port_of s)",
 "seeds": ["127.0.0.1:$API"]}
JSON
configure () {
	curl -sf -m 3 -o /dev/null -d '{"version":1,"services":[{"name":"s",
		"max_connections":1000}],"routes":[
		{"name":"any","host":"h","path_prefix":"/any/",
		"kind":"idempotent","timeout_ms":20000,"service":"s",
		"public":true},
		{"name":"once","host":"h","path_prefix":"/once/",
		"kind":"non_idempotent","timeout_ms":20000,"service":"s",
		"public":true},
		{"name":"stream","host":"h","path_prefix":"/stream/",
		"kind":"streaming","timeout_ms":20000,"service":"s",
		"public":true}]}' \
		"http://127.0.0.1:$API/api/config/replace"
}
head -c $UPLOAD_BYTES /dev/zero >"$TMP/upload"

# relayed ROUTE NAME FILE: "STATUS EXIT" once the endpoint is in use
relayed () {
	wait_for 20 served
	ask "http://127.0.0.1:$FRONT/$1/" "$2" -H "Host: h" --data-binary "@$3"
}
served () {
	[ "$(ask "http://127.0.0.1:$FRONT/any/" other -H "Host: h" -d x)" = \
		"200 0" ]
}

start m "$BIN/groupd" -f "$TMP/m.json"
start r "$BIN/relayd" -f "$TMP/r.json"
wait_for 15 configure
echo small >"$TMP/small"

for route in any once; do
	for name in $CUT; do
		expect "$route, $name" "$(relayed $route $name "$TMP/upload")" \
			502-0
	done
	for name in $SHORT $STATUSES $NAMES; do
		expect "$route, $name" "$(relayed $route $name "$TMP/small")" \
			502-0
	done
	for name in $WHOLE until-close; do
		expect "$route, $name" "$(relayed $route $name "$TMP/upload")" \
			200-0
		expect_body "$route, $name" "$BODY"
	done
	expect "$route, refused" "$(relayed $route refused "$TMP/upload")" 413-0
	expect_body "$route, refused" "$BODY"
done

# What came of a stream was passed on before its end; the client has to see
# that it is cut.
EVENTS='id: 0\ndata: a\n\nid: 1\ndata: b\n\n'
TYPE='Content-Type: text/event-stream'
EVENT_CHUNKS="1e\r\n$EVENTS\r\n0\r\n\r\n"
answer events-reset 'unread reset' 'HTTP/1.1 200 OK' "${HEAD[@]}" "$TYPE" \
	"$EVENTS"
answer events-close 'unread fin' 'HTTP/1.1 200 OK' "${HEAD[@]}" "$TYPE" \
	"$EVENTS"
answer events-until-close 'unread fin-reset' 'HTTP/1.1 200 OK' "${HEAD[@]}" \
	"$TYPE" "$EVENTS"
answer events-chunks 'unread reset' 'HTTP/1.1 200 OK' "${HEAD[@]}" "$TYPE" \
	"$CHUNKED" "$EVENT_CHUNKS"
for name in events-reset events-close; do
	expect "stream, $name" "$(relayed stream $name "$TMP/upload")" \
		200-18 200-56
	expect_body "stream, $name" "$(printf "$EVENTS")"
done
for name in events-until-close events-chunks; do
	expect "stream, $name" "$(relayed stream $name "$TMP/upload")" 200-0
	expect_body "stream, $name" "$(printf "$EVENTS")"
done
for name in $STATUSES $NAMES; do
	expect "stream, $name" "$(relayed stream $name "$TMP/small")" 502-0
done
# What may have run is not sent again where that is not allowed.
for name in $CUT $SHORT $STATUSES $NAMES; do
	before=$(arrivals s $name)
	expect "once again, $name" "$(relayed once $name "$TMP/upload")" 502-0
	expect "arrivals, $name" "$(($(arrivals s $name) - before))" 1
done
check "the relay ended" alive r
none_wrong
echo "e2e_answers_relay: passed"
