#!/usr/bin/env bash
# An entry instance behind a link that bears little gets an inventory of the
# size in README.md from a control member, which stays its member meanwhile.
. "$(dirname "$0")/lib.sh"
. tests/t_control.sh

RATE=${RATE:-100000}
read -r PEER _ <<<"$("$BIN/soak" -p)"

doc () { # ENDPOINTS
	awk -v n="$1" -v net="$NET" 'BEGIN {
		printf "{\"domains\":[{\"name\":\"north\"}],\"entries\":[{\"name\":\"e1\",\"domain\":\"north\",\"peer\":\"" net ".51:1\"}],\"classes\":[{\"name\":\"c\",\"tier\":1,\"ttft_ms\":320,\"itl_ms\":50,\"deadline_ms\":2000}],\"endpoints\":["
		for (i = 0; i < n; i++)
			printf "%s{\"name\":\"an-engine-with-a-name-%d\",\"domain\":\"north\",\"addr\":\"10.%d.%d.%d:8080\",\"models\":[\"m\"],\"price_per_h\":%d,\"cold_bound\":2,\"warm_bound\":8,\"checks_fence\":true,\"resumes\":true}", (i ? "," : ""), i, int (i / 65536), int (i / 256) % 256, i % 256, 1000 + i
		print "]}"
	}'
}
holds () { # ENDPOINTS
	grep -q "config .*verdict=in_force endpoints=$1 " "$TMP/e1.log"
}

member_set c1 "$NET.1:$PEER" "127.0.0.1:0"
member_init c1
member_start c1
wait_for 5 has_leader
start_fake narrow narrow -o "net=$NET" -o members=1 -o "port=$PEER" \
	-o "narrow=$NET.51"
cat >"$TMP/e1.json" <<JSON
{"name": "e1", "domain": "north", "listen": "127.0.0.1:0",
 "peer": "$NET.51:0", "admin": "127.0.0.1:0",
 "control": ["$NET.101:$PEER"], "cluster_key_file": "$TMP/cluster.key",
 "admin_token_file": "$TMP/admin.token", "ports_file": "$TMP/e1.ports"}
JSON
start e1 "$BIN/entryd" -f "$TMP/e1.json"
doc 1 >"$TMP/doc"
accepted "$(apply c1 0 small @"$TMP/doc")" || fail "apply"
wait_for 10 holds 1
fault narrow "{\"rate\": $RATE}"
before=$(seen narrow bytes)
ended=$(grep -c "state=down" "$TMP/e1.log")
doc 4700 >"$TMP/doc"
accepted "$(apply c1 "$(field c1 revision)" large @"$TMP/doc")" || fail "apply"
begun=$(date +%s%3N)
size=$(stat -c %s "$TMP/doc")
limit_ms=$((2 * size * 1000 / RATE + 2000))
until holds 4700; do
	[ $(($(date +%s%3N) - begun)) -gt $limit_ms ] &&
		fail "not in force after $limit_ms ms," \
			"$(($(seen narrow bytes) - before)) bytes sent, text $size"
	sleep 0.02
done
echo "e2e_narrow_entry: $size bytes at $RATE B/s in force after" \
	"$(($(date +%s%3N) - begun)) ms of $limit_ms," \
	"$(($(seen narrow bytes) - before)) bytes sent," \
	"$(($(grep -c "state=down" "$TMP/e1.log") - ended)) links ended"
