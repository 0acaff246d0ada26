#!/usr/bin/env bash
# A large configuration that many relays take at once costs no member of the
# group its memory, and its leader not the term: changes after it would wait
# for the next leader.
. "$(dirname "$0")/lib.sh"

N=3 RELAYS=${RELAYS:-40} NET=127.4.1
ROUTES=${ROUTES:-9000}
FORCE_S=15     # in force everywhere, from the size in README.md
MEMORY_MB=128  # of an instance for control, likewise
PEER=$("$BIN/soak" -p)
API=$("$BIN/soak" -p)
FRONT=$("$BIN/soak" -p)
printf '%064d\n' 7 >"$TMP/key"

fail () {
	echo "FAIL: $RELAYS relays, $ROUTES routes: $*"
	grep -hE ' (role|acknowledge|applied|api-refuse) ' "$TMP"/m*.out | sort |
		tail -n 30
	exit 1
}

text () { # VERSION ROUTES
	awk -v version="$1" -v n="$2" 'BEGIN {
		printf "{\"version\":%d,\"services\":[{\"name\":\"s\"}],\"routes\":[", version
		for (i = 0; i < n; i++)
			printf "%s{\"name\":\"r-%d\",\"host\":\"h.example\",\"path_prefix\":\"/%d-%d/\",\"kind\":\"idempotent\",\"timeout_ms\":1000,\"target_latency_ms\":120,\"priority\":%d,\"weighted_backends\":[{\"service\":\"s\",\"weight\":100}],\"max_attempts\":2,\"public\":false,\"sticky\":false,\"resumable\":false,\"target_gap_ms\":%d}", (i ? "," : ""), i, i, i * 7919, i % 4, (i ? 0 : version)
		print "]}"
	}' >"$TMP/v$1"
}
put () { # VERSION
	curl -sfL -m 5 -o /dev/null -X POST --data-binary "@$TMP/v$1" \
		"http://$NET.1:$API/api/config/replace"
}
all_know () { # VERSION
	[ "$(grep -l " config version=$1 " "$TMP"/r*.out | wc -l)" = "$RELAYS" ]
}

SEEDS="\"$NET.1:$API\",\"$NET.2:$API\",\"$NET.3:$API\""
for ((i = 1; i <= N; i++)); do
	cat >"$TMP/m$i.json" <<JSON
{"name": "m$i", "domain": "z$i", "peer": "$NET.$i:$PEER",
 "api": "$NET.$i:$API", "data_dir": "$TMP/d$i", "found": true,
 "cluster_key_file": "$TMP/key", "platform": "127.0.0.1:1",
 "seeds": [$SEEDS]}
JSON
	start "m$i" "$BIN/groupd" -f "$TMP/m$i.json"
done
for ((i = 1; i <= RELAYS; i++)); do
	ip=$NET.$((100 + i))
	cat >"$TMP/r$i.json" <<JSON
{"name": "r$i", "domain": "z$((i % 3 + 1))", "listen": "$ip:$FRONT",
 "ready": "$ip:$API", "peer": "$ip:$PEER", "cluster_key_file": "$TMP/key",
 "platform": "127.0.0.1:1", "seeds": [$SEEDS]}
JSON
	start "r$i" "$BIN/relayd" -f "$TMP/r$i.json"
done

text 1 1
text 2 "$ROUTES"
text 3 "$ROUTES"
wait_for 15 put 1
wait_for 15 all_know 1
terms=$(cat "$TMP"/m*.out | grep -c " role ")
begun=$(date +%s%3N)
wait_for 10 put 2
wait_for 5 put 3
second_ms=$(($(date +%s%3N) - begun))
wait_for $FORCE_S all_know 3
took_ms=$(($(date +%s%3N) - begun))
after=$(cat "$TMP"/m*.out | grep -c " role ")
most=0
for ((i = 1; i <= N; i++)); do
	kb=$(sed -n 's/^VmHWM:[[:space:]]*\([0-9]*\) kB/\1/p' "/proc/${PID[m$i]}/status")
	most=$((kb > most ? kb : most))
done
echo "e2e_fanout: $RELAYS relays, text $(stat -c %s "$TMP/v3") bytes, both" \
	"acknowledged after $second_ms ms, in use everywhere after $took_ms ms," \
	"members at most $((most / 1024)) MB, $((after - terms)) changes of role"
[ "$most" -le $((MEMORY_MB * 1024)) ] || fail "a member took $((most / 1024)) MB"
[ "$after" = "$terms" ] || fail "the leader lost its term"
