#!/usr/bin/env bash
# Rollouts with real relays: three members, three relays, endpoints of two
# versions from a stand-in, and callers.  A bad version is rolled back within
# the bound on its requests and gets none afterwards, also where the leader is
# killed right after it acknowledged the start, or later; a good one takes all
# requests over, and none fails.  Counts are those of the stand-in.
. "$(dirname "$0")/lib.sh"

read -r PEER API FRONT PORT <<<"$("$BIN/soak" -p)"
printf '%064d\n' 7 >"$TMP/key"
start_fake ends versions -l "0.0.0.0:$PORT"
ENDS=127.0.0.1:$(port_of ends | sed 's/.*://')
SEEDS="\"$NET.31:$API\", \"$NET.32:$API\", \"$NET.33:$API\""
member () { # MEMBER FOUND
	cat >"$TMP/m$1.json" <<JSON
{"name": "m$1", "domain": "z$1", "peer": "$NET.3$1:$PEER",
 "api": "$NET.3$1:$API", "data_dir": "$TMP/d$1", "found": $2,
 "cluster_key_file": "$TMP/key", "platform": "$ENDS",
 "exposure_share": 0.1, "exposure_slack": 50, "seeds": [$SEEDS]}
JSON
	start "m$1" "$BIN/groupd" -f "$TMP/m$1.json"
}
relay () { # RELAY
	cat >"$TMP/r$1.json" <<JSON
{"name": "r$1", "domain": "z$1", "listen": "$NET.4$1:$FRONT",
 "ready": "$NET.5$1:$FRONT", "peer": "$NET.4$1:$PEER",
 "cluster_key_file": "$TMP/key", "platform": "$ENDS", "seeds": [$SEEDS]}
JSON
	start "r$1" "$BIN/relayd" -f "$TMP/r$1.json"
}
configure () {
	echo '{"version":5,"services":[{"name":"s"}],"routes":[{"name":"r","host":"h.example","path_prefix":"/","kind":"idempotent","timeout_ms":3000,"service":"s","public":true}]}' |
		curl -sfL -m 3 -o /dev/null -X POST --data-binary @- \
			"http://$NET.31:$API/api/config/replace"
}
served () { # RELAY
	curl -sf -m 3 -o /dev/null -H 'Host: h.example' \
		-H 'X-Request-Id: probe' "http://$NET.4$1:$FRONT/x"
}
# Callers at the three relays while the file $TMP/go is there.
callers () {
	local i
	for i in 1 2 3; do
		while [ -e "$TMP/go" ]; do
			curl -sZ --parallel-max 4 --no-progress-meter -m 5 \
				-o /dev/null -w '%{http_code}\n' \
				-H 'Host: h.example' -H "X-Request-Id: c$i" \
				"http://$NET.4$i:$FRONT/x?n=[1-100]" \
				>>"$TMP/codes" 2>/dev/null
		done &
		CALLERS+=($!)
	done
}
order () { # TARGET SECONDS
	local i
	for i in 1 2 3; do
		curl -sfL -m 3 -o /dev/null -X POST -d \
			"{\"service\":\"s\",\"target\":\"$1\",\"duration_s\":$2}" \
			"http://$NET.3$i:$API/api/rollouts/start" && return
	done
	return 1
}
state () { # STATE
	local i
	for i in 1 2 3; do
		curl -sL -m 3 "http://$NET.3$i:$API/api/rollouts/s/get" |
			grep -q "\"$1\"" && return
	done
	return 1
}
leader () {
	local i
	for i in 1 2 3; do
		curl -s -m 1 -o /dev/null -w '%{http_code}' \
			"http://$NET.3$i:$API/api/config/get" |
			grep -q 200 && echo "$i" && return
	done
	return 1
}
total () {
	echo $(($(seen ends old_got) + $(seen ends new_got)))
}
# A rollout to a bad version; the leader is killed so many seconds after the
# acknowledgement, or not at all.
bad_one () { # WHAT KNOBS KILL_AFTER
	local from new bound old
	# Another duration each time: an equal request soon after is a repeat.
	SECONDS_EACH=$((${SECONDS_EACH:-11} + 1))
	wait_for 10 served 1
	from=$(total)
	new=$(seen ends new_got)
	fault ends "$2"
	wait_for 5 order v2 $SECONDS_EACH
	old=$(leader)
	if [ -n "$3" ]; then
		sleep "$3"
		stop "m$old" KILL
	fi
	fault ends '{"new":4}'
	wait_for $((SECONDS_EACH + 2)) state rolled_back
	sleep 0.5
	fault ends '{"mark":1}'
	sleep 1
	new=$(($(seen ends new_got) - new))
	bound=$((($(total) - from) / 10 + 50))
	echo "$1: $new requests to the bad version, bound $bound"
	check "$1: the bad version got nothing" [ $new -gt 0 ]
	check "$1: above the bound" [ $new -le $bound ]
	check "$1: requests after the rollback" \
		[ "$(seen ends new_got_late)" = 0 ]
	fault ends '{"new":0,"mark":0}'
	if [ -n "$3" ]; then
		member "$old" false
	fi
	sleep 2
}

for i in 1 2 3; do member $i true; done
wait_for 15 configure
for i in 1 2 3; do relay $i; done
for i in 1 2 3; do wait_for 15 served $i; done
touch "$TMP/go"
callers

bad_one "half of the answers fail" '{"bad_share":0.5}' ''
bad_one "all answers are slow" '{"bad_share":1,"bad_ms":60}' ''
bad_one "leader lost at the start" '{"bad_share":1,"bad_ms":0}' 0
bad_one "leader lost later" '{"bad_share":0.3}' 2

: >"$TMP/codes"
fault ends '{"bad_share":0}'
wait_for 5 order v2 12
fault ends '{"new":4}'
wait_for 15 state succeeded
fault ends '{"old":0}'
sleep 2
check "the state changed" state succeeded
rm "$TMP/go"
wait "${CALLERS[@]}"
echo "good version: $(grep -c '^200' "$TMP/codes") answers, $(grep -vc '^200' "$TMP/codes") others"
check "requests failed in a good rollout" [ "$(grep -vc '^200' "$TMP/codes")" = 0 ]
echo "e2e_rollout_serve: passed"
