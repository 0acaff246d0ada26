#!/usr/bin/env bash
# A relay that starts behind a link that bears little gets the endpoint list, of
# the size in README.md, for at most twice its bytes.  One play by hand:
#   bash tests/e2e_narrow_list.sh MEMBERS ENDPOINTS RATE
. "$(dirname "$0")/lib.sh"

START_MS=2000 # bound where the link bears the list in half of that time

if [ $# = 0 ]; then
	plays=("3 4700 1250000" "6 4700 150000" "6 4700 50000" "6 200 50000")
	status=0 net=0
	for play in "${plays[@]}"; do
		net=$((net + 1))
		# shellcheck disable=SC2086
		bash "$0" $play >"$TMP/play.$net" 2>&1 &
		PID[play$net]=$!
	done
	for ((i = 1; i <= net; i++)); do
		wait "${PID[play$i]}" || status=1
		cat "$TMP/play.$i"
		unset "PID[play$i]"
	done
	exit $status
fi

N=$1 ENDPOINTS=$2 RATE=$3
# In memory where that is possible: the other work of a machine must not stall
# the disks of all members at once.
DATA=$(mktemp -d -p /dev/shm 2>/dev/null || mktemp -d -p "$TMP")
trap 'status=$?; rm -rf "$DATA"; (exit $status); finish' EXIT
read -r PEER API FRONT _ <<<"$("$BIN/soak" -p)"
printf '%064d\n' 7 >"$TMP/key"

fail () {
	echo "FAIL: $N members, $ENDPOINTS endpoints, $RATE B/s: $*"
	grep -hE ' (list|list-[a-z]+|member-[a-z]+|frame) ' "$TMP/r.out" |
		tail -n 20
	exit 1
}
bytes () {
	seen narrow bytes
}
# A relay is ready once it has the configuration and the list.
has_list () {
	[ "$(curl -s -m 1 -o /dev/null -w '%{http_code}' \
		"http://$NET.51:$API/api/ready")" = 200 ]
}
put () {
	local i
	for ((i = 1; i <= N; i++)); do
		[ "$(curl -s -m 3 -o /dev/null -w '%{http_code}' -X POST -d \
			'{"version":1,"services":[{"name":"s"}],"routes":[]}' \
			"http://$NET.$i:$API/api/config/replace")" = 200 ] &&
			return 0
	done
	return 1
}

SEEDS=
for ((i = 1; i <= N; i++)); do
	SEEDS+="${SEEDS:+,}\"$NET.$((100 + i)):$API\""
done
start_fake cloud cloud -o "endpoints=$ENDPOINTS"
start_fake narrow narrow -o "net=$NET" -o "members=$N" -o "port=$PEER" \
	-o "narrow=$NET.51"
for ((i = 1; i <= N; i++)); do
	cat >"$TMP/m$i.json" <<JSON
{"name": "m$i", "domain": "z$i", "peer": "$NET.$((100 + i)):$PEER",
 "peer_listen": "$NET.$i:$PEER", "api": "$NET.$i:$API",
 "data_dir": "$DATA/d$i", "found": true, "cluster_key_file": "$TMP/key",
 "platform": "$(port_of cloud)", "platform_calls_per_s": 50,
 "seeds": [$SEEDS]}
JSON
	start "m$i" "$BIN/groupd" -f "$TMP/m$i.json"
done
cat >"$TMP/r.json" <<JSON
{"name": "r", "domain": "z1", "listen": "$NET.51:$FRONT",
 "ready": "$NET.51:$API", "peer": "$NET.51:$PEER",
 "cluster_key_file": "$TMP/key", "platform": "127.0.0.1:1",
 "seeds": [$SEEDS]}
JSON
all_have_lists () {
	local i
	for ((i = 1; i <= N; i++)); do
		grep -q " list from=.* endpoints=$ENDPOINTS " "$TMP/m$i.out" ||
			return 1
	done
}
wait_for 15 put
wait_for 15 all_have_lists
# What a start costs over a wide link.
start r0 "$BIN/relayd" -f "$TMP/r.json"
wait_for 15 has_list
sleep 0.3
size=$(bytes)
stop r0 KILL
fault narrow "{\"rate\": $RATE}"
need_ms=$((2 * size * 1000 / RATE))
limit_ms=$((need_ms > START_MS ? need_ms : START_MS))
begun=$(date +%s%3N)
start r "$BIN/relayd" -f "$TMP/r.json"
until has_list; do
	[ $(($(date +%s%3N) - begun)) -gt $limit_ms ] &&
		fail "no list after $limit_ms ms, $(($(bytes) - size))" \
			"bytes sent, a start costs $size"
	sleep 0.01
done
took=$(($(date +%s%3N) - begun))
moved=$(($(bytes) - size))
[ $moved -gt $((2 * size + 30000)) ] &&
	fail "$moved bytes sent, a start costs $size"
downs=$(grep -c " member-down " "$TMP/r.out")
[ "$downs" = 0 ] || fail "$downs links ended"
echo "e2e_narrow_list: $N members, $ENDPOINTS endpoints, $RATE B/s: $took ms" \
	"of $limit_ms, $moved bytes, a start over a wide link $size"
