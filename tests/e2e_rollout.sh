#!/usr/bin/env bash
# Rollouts at a group of three members without relays.  A start request that was
# acknowledged is acknowledged again and survives the loss of the leader and the
# restart of all members; invalid and conflicting ones are refused for good; a
# version without any answer is rolled back before the time limit, and that
# state stays.  Without exposure_share the calls don't exist.
. "$(dirname "$0")/lib.sh"

read -r PEER API _ <<<"$("$BIN/soak" -p)"
printf '%064d\n' 7 >"$TMP/key"
launch () { # MEMBER FOUND EXTRA
	cat >"$TMP/m$1.json" <<JSON
{"name": "m$1", "domain": "z$1", "peer": "$NET.3$1:$PEER",
 "api": "$NET.3$1:$API", "data_dir": "$TMP/d$1", "found": $2,
 "cluster_key_file": "$TMP/key", "platform": "127.0.0.1:1", $3
 "seeds": ["$NET.31:$API", "$NET.32:$API", "$NET.33:$API"]}
JSON
	start "m$1" "$BIN/groupd" -f "$TMP/m$1.json"
}
ON='"exposure_share": 0.1, "ack_ms": 5000,'
call () { # MEMBER METHOD PATH BODY: prints status and body
	curl -sL -m 3 -X "$2" --data-binary "$4" -w ' %{http_code}' \
		"http://$NET.3$1:$API$3"
}
config () { # VERSION SERVICE
	echo "{\"version\":$1,\"services\":[{\"name\":\"$2\"}],\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"path_prefix\":\"/\",\"kind\":\"idempotent\",\"timeout_ms\":1000,\"service\":\"$2\"}]}"
}
answers () { # STATUS MEMBER METHOD PATH BODY
	local status=$1
	shift
	[[ "$(call "$@")" == *" $status" ]]
}
order () { # SERVICE TARGET SECONDS
	echo "{\"service\":\"$1\",\"target\":\"$2\",\"duration_s\":$3}"
}
starts () { # STATUS MEMBER SERVICE TARGET SECONDS
	answers "$1" "$2" POST /api/rollouts/start "$(order "$3" "$4" "$5")"
}
state () { # STATE MEMBER SERVICE
	[[ "$(call "$2" GET "/api/rollouts/$3/get" '')" == \
		*"\"state\":\"$1\""*" 200" ]]
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
is_not () { # MEMBER: another one leads
	local now
	now=$(leader) && [ "$now" != "$1" ]
}

for i in 1 2 3; do launch $i true ''; done
wait_for 15 answers 200 1 POST /api/config/replace "$(config 5 s)"
wait_for 5 starts 404 1 s v2 60
wait_for 5 answers 404 2 GET /api/rollouts/s/get ''
for i in 1 2 3; do stop m$i KILL; done
for i in 1 2 3; do launch $i false "$ON"; done

wait_for 15 answers 404 1 GET /api/rollouts/s/get ''
wait_for 5 starts 400 2 other v2 60
wait_for 5 starts 400 2 s '' 60
wait_for 5 starts 400 2 s v2 0
wait_for 5 answers 400 3 POST /api/rollouts/start '{"service":'
check "a refused start left a rollout" answers 404 1 GET /api/rollouts/s/get ''

# The leader is killed at once after it acknowledged.
wait_for 5 starts 200 1 s v2 60
old=$(leader)
stop "m$old" KILL
next=$((old % 3 + 1))
wait_for 15 is_not "$old"
wait_for 5 state running $next s
wait_for 5 starts 200 $next s v2 60
wait_for 5 starts 409 $next s v3 60
launch "$old" false "$ON"
wait_for 5 state running "$old" s

# All members restart; the member that lost its disk learns of the rollout.
for i in 1 2 3; do stop m$i KILL; done
rm -rf "$TMP/d$old"
for i in 1 2 3; do launch $i false "$ON"; done
wait_for 20 state running "$old" s

# A configuration without the service ends its rollout.
wait_for 5 answers 200 1 POST /api/config/replace "$(config 6 t)"
wait_for 5 state rolled_back 1 s
wait_for 5 state rolled_back 2 s

# No relay answers for the new version: rolled back, and acknowledged again.
wait_for 5 starts 200 2 t v2 3
check "not running after the start" state running 3 t
wait_for 4 state rolled_back 1 t
check "a repeated start was refused" starts 200 1 t v2 3
check "a repeated start began anew" state rolled_back 2 t
check "states of the first rollout" state rolled_back 3 s
old=$(leader)
stop "m$old" KILL
wait_for 15 is_not "$old"
wait_for 5 state rolled_back $((old % 3 + 1)) t
wait_for 5 starts 200 $((old % 3 + 1)) t v3 60
wait_for 5 state running $((old % 3 + 1)) t
echo "e2e_rollout: passed"
