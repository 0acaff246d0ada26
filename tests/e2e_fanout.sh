#!/usr/bin/env bash
# A large configuration that hundreds of relays fetch at once costs a member
# neither its memory nor, where it leads, the term: a change after it would wait
# for the next leader.  The relays are stand-ins that parse nothing (by hand, as
# versions before chunks: WHOLE=1; with members that have a third of a core, as
# the small ones do: SLOW=1).
. "$(dirname "$0")/lib.sh"

N=3 RELAYS=${RELAYS:-300}
ROUTES=${ROUTES:-9000}
FORCE_S=15    # in force everywhere, from the size in README.md
MEMORY_MB=128 # of an instance for control, likewise
CHANGES_DAY=2600 # likewise, and the bytes a second that they may cost a relay
RATE_BYTES=2000
# Sanitizers keep what was freed.
case ${BUILD:-} in *san*) MEMORY_MB=1024 ;; esac
# In memory where that is possible: the other work of a machine must not stall
# the disks of all members at once.
DATA=$(mktemp -d -p /dev/shm 2>/dev/null || mktemp -d -p "$TMP")
trap 'status=$?; rm -rf "$DATA"; (exit $status); finish' EXIT
read -r PEER API _ <<<"$("$BIN/soak" -p)"
printf '%064d\n' 7 >"$TMP/key"

fail () {
	echo "FAIL: $RELAYS relays, $ROUTES routes: $*"
	grep -hE ' (role|acknowledge|config-propose|applied|api-refuse) ' \
		"$TMP"/m*.out | sort | tail -n 30
	exit 1
}

text () { # VERSION ROUTES
	awk -v version="$1" -v n="$2" 'BEGIN {
		srand (n)
		set = "0123456789abcdefghijklmnopqrstuvwxyz"
		printf "{\"version\":%d,\"services\":[{\"name\":\"s\"}],\"routes\":[", version
		for (i = 0; i < n; i++) {
			tail = ""
			for (j = 0; j < 8; j++)
				tail = tail substr (set, 1 + int (36 * rand ()), 1)
			printf "%s{\"name\":\"r-%d\",\"host\":\"h.example\",\"path_prefix\":\"/%d-%s/\",\"kind\":\"idempotent\",\"timeout_ms\":1000,\"target_latency_ms\":120,\"priority\":%d,\"weighted_backends\":[{\"service\":\"s\",\"weight\":100}],\"max_attempts\":2,\"public\":false,\"sticky\":false,\"resumable\":false,\"target_gap_ms\":%d}", (i ? "," : ""), i, i, tail, i % 4, (i ? 0 : version)
		}
		print "]}"
	}' >"$TMP/v$1"
}
put () { # VERSION
	curl -sfL -m 5 -o /dev/null -X POST --data-binary "@$TMP/v$1" \
		"http://$NET.1:$API/api/config/replace"
}
all_hold () { # VERSION
	[ "$(seen fetchers version)" -ge "$1" ]
}
# Stops the members for two thirds of the time.
slow () {
	while kill -STOP "$@"; do
		sleep 0.014
		kill -CONT "$@"
		sleep 0.006
	done 2>/dev/null
}
roles () {
	cat "$TMP"/m*.out | grep -c " role "
}

SEEDS="\"$NET.1:$API\",\"$NET.2:$API\",\"$NET.3:$API\""
for ((i = 1; i <= N; i++)); do
	cat >"$TMP/m$i.json" <<JSON
{"name": "m$i", "domain": "z$i", "peer": "$NET.$i:$PEER",
 "api": "$NET.$i:$API", "data_dir": "$DATA/d$i", "found": true,
 "cluster_key_file": "$TMP/key", "platform": "127.0.0.1:1",
 "seeds": [$SEEDS]}
JSON
	start "m$i" "$BIN/groupd" -f "$TMP/m$i.json"
done
text 1 1
text 2 "$ROUTES"
text 3 "$ROUTES"
size=$(stat -c %s "$TMP/v3")
wait_for 15 put 1
start_fake fetchers fetchers -o "net=$NET" -o "port=$PEER" \
	-o "members=$N" -o "count=$RELAYS" -o "key_file=$TMP/key" \
	-o "whole=${WHOLE:-0}"
wait_for 15 all_hold 1
if [ -n "${SLOW:-}" ]; then
	slow "${PID[m1]}" "${PID[m2]}" "${PID[m3]}" &
	sleep 0.5
fi
before=$(roles)
moved=$(seen fetchers bytes)
begun=$(date +%s%3N)
wait_for 10 put 2
wait_for 10 put 3
second_ms=$(($(date +%s%3N) - begun))
wait_for $FORCE_S all_hold 3
took_ms=$(($(date +%s%3N) - begun))
changes=$(($(roles) - before))
moved=$((($(seen fetchers bytes) - moved) / RELAYS))
most=0
for ((i = 1; i <= N; i++)); do
	kb=$(sed -n 's/^VmHWM:[[:space:]]*\([0-9]*\) kB/\1/p' "/proc/${PID[m$i]}/status")
	most=$((kb > most ? kb : most))
done
echo "e2e_fanout: $RELAYS relays, text of $size bytes, both changes" \
	"acknowledged after $second_ms ms, at all relays after $took_ms ms," \
	"$moved bytes to each, members at most $((most / 1024)) MB," \
	"$changes changes of role"
[ "$most" -le $((MEMORY_MB * 1024)) ] || fail "a member took $((most / 1024)) MB"
[ "$changes" = 0 ] || fail "the leader lost its term"
# The stated rate is for texts of 450 kB.
limit=$((2 * RATE_BYTES * 86400 / CHANGES_DAY * size / 450000))
[ "$moved" -le "$limit" ] || fail "$moved bytes to each relay, not $limit"
