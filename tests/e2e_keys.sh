#!/usr/bin/env bash
# Keys: granted and withdrawn under traffic, with and without control, on
# connections that stay open and for requests that wait; no endpoint sees one.
. "$(dirname "$0")/lib.sh"
. bench/system.sh

# "within seconds": a withdrawn key must be refused everywhere after this
LIMIT_S=5
CHAT='{"model":"small","messages":[{"role":"user","content":"hi"}],"x_tokens":2}'

# status ENTRY KEY [CURL-OPTION...]
status () {
	local entry=$1 key=$2
	shift 2
	curl -s -m 20 -o /dev/null -w '%{http_code}' "$@" \
		-H "authorization: Bearer $key" -d "$CHAT" \
		"$(ports "$entry" listen)/v1/chat/completions"
}

is () {
	[ "$(status "$1" "$2")" = "$3" ]
}

everywhere () {
	local entry
	for entry in e1 e2 e3 e4; do
		is "$entry" "$1" "$2" || return 1
	done
}

# grant ACCOUNT: sets KEY and KEY_ID
grant () {
	local out
	out=$(ctl --wait grant "$1") || fail "grant $1"
	KEY=$(sed -n 's/^key //p' <<<"$out")
	KEY_ID=$(sed -n 's/^id //p' <<<"$out")
	[ -n "$KEY" ] && [ -n "$KEY_ID" ] || fail "grant said: $out"
}

# A connection kept open by this shell.
ask_open () {
	printf 'POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nx-api-key: %s\r\ncontent-length: %d\r\n\r\n%s' \
		"$KEY" ${#CHAT} "$CHAT" >&3
	local line len=0
	read -r -t 10 line <&3 || return 1
	STATUS=$(cut -d' ' -f2 <<<"$line")
	while read -r -t 10 line <&3 && [ "${line%$'\r'}" != "" ]; do
		case ${line,,} in
		content-length:*) len=$(tr -dc 0-9 <<<"$line") ;;
		esac
	done
	read -r -t 10 -N "$len" line <&3
}

system_up bench/scenarios/demo.inventory.json slots=8 itl_us=2000 base_us=2000

grant inspectors
wait_for 10 everywhere "$KEY" 200
check "an unknown key" is e1 sk-unknown 401
check "no key" test "$(curl -s -m 5 -o /dev/null -w '%{http_code}' \
	-d "$CHAT" "$(ports e1 listen)/v1/chat/completions")" = 401

echo "withdrawn with control; an open connection too"
exec 3<>"/dev/tcp/$(ports e2 listen | tr : /)"
ask_open
check "served on the open connection" test "$STATUS" = 200
ctl withdraw "$KEY_ID" || fail "withdraw"
wait_for $LIMIT_S everywhere "$KEY" 401
ask_open
check "refused on the open connection" test "$STATUS" = 401
exec 3>&-

echo "withdrawn at one entry while control is gone"
grant inspectors
wait_for 10 everywhere "$KEY" 200
stop c1 KILL
curl -sf -m 5 -X POST -H "authorization: Bearer $(cat "$TMP/admin.token")" \
	"$(ports e3 admin)/v1/withdraw?key=$KEY_ID" >/dev/null ||
	fail "withdraw at e3"
wait_for $LIMIT_S everywhere "$KEY" 401

echo "a reload with nothing to reload says so"
kill -HUP "${PID[e3]}"
wait_for 5 grep -q "reload verdict=nothing" "$TMP/e3.log"

echo "withdrawn while requests wait"
start c1 "$BIN/controld" -f "$TMP/c1.json"
wait_for 20 ctl show leader
grant inspectors
wait_for 10 everywhere "$KEY" 200
for engine in n1 n2 s1 s2; do
	fault $engine '{"hang":1}'
done
# More than all engines' warm bounds together, so that some must wait.
WAITING=()
for i in $(seq 40); do
	status e1 "$KEY" -H 'x-class: batch' >"$TMP/w$i" &
	WAITING+=($!)
done
queued () {
	curl -sf -m 2 "$(ports e1 listen)/metrics" |
		grep -q '^dragonflyhinge_queued [1-9]'
}
wait_for 10 queued
ctl withdraw "$KEY_ID" || fail "withdraw"
wait_for $LIMIT_S is e2 "$KEY" 401
refused () {
	grep -l 401 "$TMP"/w[0-9]* | grep -q .
}
wait_for $LIMIT_S refused
for engine in n1 n2 s1 s2; do
	fault $engine '{"hang":0}'
done
for pid in "${WAITING[@]}"; do
	kill "$pid" 2>/dev/null
done

# saw_none ENGINE WHAT: a failure tells the count, or that none was read.
saw_none () {
	local count
	count=$(seen "$1" "$2")
	[ "$count" = 0 ] || { echo "$1 $2: '$count'"; return 1; }
}
for engine in n1 n2 s1 s2; do
	check "$engine saw no credential header" \
		saw_none $engine credential_headers
	check "$engine saw no key" saw_none $engine key_texts
done
echo ok
