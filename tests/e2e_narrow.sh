#!/usr/bin/env bash
# A configuration reaches a relay over a link that bears little, and the links
# to the members stay up meanwhile.  Two versions follow each other, as a large
# change and a small one do.  One play by hand:
#   bash tests/e2e_narrow.sh MEMBERS ROUTES SHAPE RATE RESET CHANGES
# with SHAPE plain or random (names that can't be compressed), RATE in bytes a
# second, RESET in bytes after which connections are reset (0: never), CHANGES
# as SECONDS:RATE of the later rates.  More sizes and rates: ALL=1 bash
# tests/e2e_narrow.sh
. "$(dirname "$0")/lib.sh"

APPLY_MS=2000 # bound on a change where the link bears it in half of that time

if [ $# = 0 ]; then
	plays=("6|50|plain|100000|0|" "6|1450|plain|1250000|0|"
		"3|1450|plain|200000|0|" "6|1450|plain|100000|0|3:800000"
		"5|1450|random|300000|0|" "6|1450|random|400000|100000|"
		"4|6000|plain|1250000|0|")
	if [ -n "${ALL:-}" ]; then
		plays=()
		for n in 3 4 5 6; do
			for rate in 50000 100000 300000 600000 1250000; do
				plays+=("$n|50|plain|$rate|0|"
					"$n|1450|plain|$rate|0|"
					"$n|1450|random|$rate|200000|"
					"$n|1450|random|$rate|0|2:100000 5:800000"
					"$n|9000|plain|$rate|0|")
			done
		done
		plays+=("6|6500|random|200000|0|" "3|6500|random|1250000|500000|")
	fi
	status=0 net=0 batch=0
	for play in "${plays[@]}"; do
		IFS='|' read -r n routes shape rate reset changes <<<"$play"
		net=$((net % 200 + 1))
		bash "$0" "$n" "$routes" "$shape" "$rate" "$reset" "$changes" \
			>"$TMP/play.$net" 2>&1 &
		PID[play$net]=$!
		batch=$((batch + 1))
		if [ $batch = 7 ] || [ "$play" = "${plays[-1]}" ]; then
			for name in "${!PID[@]}"; do
				wait "${PID[$name]}" || status=1
				cat "$TMP/play.${name#play}"
				unset "PID[$name]"
			done
			batch=0
		fi
	done
	exit $status
fi

N=$1 ROUTES=$2 SHAPE=$3 RATE=$4 RESET=$5 CHANGES=$6
# In memory where that is possible: the other work of a machine must not stall
# the disks of all members at once.
DATA=$(mktemp -d -p /dev/shm 2>/dev/null || mktemp -d -p "$TMP")
trap 'status=$?; rm -rf "$DATA"; (exit $status); finish' EXIT
read -r PEER API FRONT _ <<<"$("$BIN/soak" -p)"
printf '%064d\n' 7 >"$TMP/key"

# What the relay believed of the members and their configurations.
fail () {
	echo "FAIL: $N members, $ROUTES $SHAPE routes, $RATE B/s," \
		"reset $RESET, changes '$CHANGES': $*"
	grep -hE ' (config|config-[a-z]+|member-[a-z]+|frame) ' "$TMP/r.out" |
		tail -n 30
	grep -hE " (role|api-refuse|acknowledge|config-propose) " "$TMP"/m*.out | sort | tail -n 20
	exit 1
}

text () { # VERSION
	awk -v version="$1" -v n="$ROUTES" -v shape="$SHAPE" 'BEGIN {
		srand (n)
		printf "{\"version\":%d,\"services\":[{\"name\":\"s\"}],\"routes\":[", version
		set = "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
		for (i = 0; i < n; i++) {
			tail = ""
			for (j = 0; j < (shape == "random" ? 200 : 8); j++)
				tail = tail substr (set, 1 + int (62 * rand ()), 1)
			printf "%s{\"name\":\"r-%d\",\"host\":\"h.example\",\"path_prefix\":\"/%d-%s/\",\"kind\":\"idempotent\",\"timeout_ms\":%d,\"target_latency_ms\":120,\"priority\":%d,\"weighted_backends\":[{\"service\":\"s\",\"weight\":100}],\"max_attempts\":2,\"public\":false,\"sticky\":false,\"resumable\":false,\"target_gap_ms\":0}", (i ? "," : ""), i, i, tail, (i ? 1000 : version), i % 4
		}
		print "]}"
	}' >"$TMP/v$1"
}
# Redirections name the doors, which pass no calls on: the leader is looked for.
put () { # VERSION
	local i
	for ((i = 1; i <= N; i++)); do
		[ "$(curl -s -m 3 -o /dev/null -w '%{http_code}' -X POST \
			--data-binary "@$TMP/v$1" \
			"http://$NET.$i:$API/api/config/replace")" = 200 ] &&
			return 0
	done
	return 1
}
bytes () {
	seen narrow bytes
}
knows () { # VERSION
	grep -q " config version=$1 " "$TMP/r.out"
}
now_ms () {
	date +%s%3N
}

SEEDS=
for ((i = 1; i <= N; i++)); do
	SEEDS+="${SEEDS:+,}\"$NET.$((100 + i)):$API\""
done
start_fake narrow narrow -o "net=$NET" -o "members=$N" -o "port=$PEER" \
	-o "narrow=$NET.51"
for ((i = 1; i <= N; i++)); do
	cat >"$TMP/m$i.json" <<JSON
{"name": "m$i", "domain": "z$i", "peer": "$NET.$((100 + i)):$PEER",
 "peer_listen": "$NET.$i:$PEER", "api": "$NET.$i:$API",
 "data_dir": "$DATA/d$i", "found": true, "cluster_key_file": "$TMP/key",
 "platform": "127.0.0.1:1", "seeds": [$SEEDS]}
JSON
	start "m$i" "$BIN/groupd" -f "$TMP/m$i.json"
done
cat >"$TMP/r.json" <<JSON
{"name": "r", "domain": "z1", "listen": "$NET.51:$FRONT",
 "ready": "$NET.51:$API", "peer": "$NET.51:$PEER",
 "cluster_key_file": "$TMP/key", "platform": "127.0.0.1:1",
 "seeds": [$SEEDS]}
JSON
start r "$BIN/relayd" -f "$TMP/r.json"

ROUTES=1 text 1
text 2
text 3
size=$(stat -c %s "$TMP/v3")
wait_for 15 put 1
wait_for 10 knows 1
fault narrow "{\"rate\": $RATE, \"reset_bytes\": $RESET}"
downs=$(grep -c " member-down " "$TMP/r.out")
before=$(bytes)
wait_for 10 put 2
wait_for 10 put 3
begun=$(now_ms)
last_rate=$RATE wait_ms=0
for change in $CHANGES; do
	at=$((begun + ${change%:*} * 1000))
	while [ "$(now_ms)" -lt "$at" ]; do sleep 0.02; done
	last_rate=${change#*:} wait_ms=$((${change%:*} * 1000))
	fault narrow "{\"rate\": $last_rate}"
done
# Both versions may cost twice their bytes.
need_ms=$((4 * size * 1000 / last_rate))
limit_ms=$((wait_ms + (need_ms > APPLY_MS ? need_ms : APPLY_MS)))
until knows 3; do
	[ $(($(now_ms) - begun)) -gt $limit_ms ] &&
		fail "not in use after $limit_ms ms," \
			"$(($(bytes) - before)) bytes sent, text $size"
	sleep 0.01
done
took=$(($(now_ms) - begun))
moved=$(($(bytes) - before))
[ $moved -gt $((4 * size + 30000)) ] &&
	fail "$moved bytes sent for two texts of $size"
downs=$(($(grep -c " member-down " "$TMP/r.out") - downs))
[ "$RESET" = 0 ] && [ $downs -gt 0 ] && fail "$downs links ended"
echo "e2e_narrow: $N members, $ROUTES $SHAPE routes of $size bytes, $RATE B/s" \
	"${CHANGES:+then $CHANGES }${RESET:+reset $RESET}: $took ms of" \
	"$limit_ms, $moved bytes, $downs links ended"
