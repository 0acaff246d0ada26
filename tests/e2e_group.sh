#!/usr/bin/env bash
# A group of three members loses no acknowledged configuration.  Its seeds
# bootstrap it and an operator configures it through any member.  Each member in
# turn loses its disk and votes again before the next one does; a member with a
# full disk stays up; and all are killed at once.  The configuration that was
# acknowledged last is read back after each step.
. "$(dirname "$0")/lib.sh"

read -r PEER API _ <<<"$("$BIN/soak" -p)"
printf '%064d\n' 7 >"$TMP/key"
settings () { # MEMBER FOUND
	cat >"$TMP/m$1.json" <<JSON
{"name": "m$1", "domain": "z$1", "peer": "$NET.$1:$PEER",
 "api": "$NET.$1:$API", "data_dir": "$TMP/d$1", "found": $2,
 "cluster_key_file": "$TMP/key", "platform": "127.0.0.1:1",
 "seeds": ["$NET.1:$API", "$NET.2:$API", "$NET.3:$API"]}
JSON
}
launch () { # MEMBER FOUND
	settings "$1" "$2"
	start "m$1" "$BIN/groupd" -f "$TMP/m$1.json"
}
config () { # VERSION
	echo "{\"version\":$1,\"services\":[{\"name\":\"s\"}],\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"path_prefix\":\"/\",\"kind\":\"idempotent\",\"timeout_ms\":1000,\"service\":\"s\"}]}"
}
put_config () { # MEMBER VERSION
	config "$2" | curl -sfL -m 3 -o "$TMP/answer" \
		-X POST --data-binary @- \
		"http://$NET.$1:$API/api/config/replace"
}
has_config () { # MEMBER VERSION
	curl -sfL -m 3 "http://$NET.$1:$API/api/config/get" |
		grep -q "\"version\":$2,"
}
# A member that lost its disk is a learner until it is promoted to voter.
votes () { # MEMBER
	grep -q "role role=follower.*voters=3" "$TMP/m$1.out"
}
rejects_invalid () { # MEMBER
	code=$(echo '{"version":999' | curl -s -o /dev/null -w '%{http_code}' \
		-m 3 -L -X POST --data-binary @- \
		"http://$NET.$1:$API/api/config/replace")
	[ "$code" = 400 ]
}

for i in 1 2 3; do launch $i true; done
wait_for 15 put_config 1 5
for i in 1 2 3; do wait_for 5 has_config $i 5; done
wait_for 5 rejects_invalid 2

version=5
for i in 1 2 3; do
	version=$((version + 1))
	wait_for 5 put_config $i $version
	stop m$i KILL
	rm -rf "$TMP/d$i"
	launch $i false
	wait_for 15 votes $i
	wait_for 10 has_config $(((i % 3) + 1)) $version
done

prlimit --pid "${PID[m1]}" --fsize=1:
version=$((version + 1))
wait_for 10 put_config 2 $version
wait_for 10 put_config 3 $((version + 1))
version=$((version + 1))
check "a member with a full disk ended" alive m1
prlimit --pid "${PID[m1]}" --fsize=unlimited:
wait_for 10 has_config 1 $version

# A member that lost its disk is killed in its first start, after it wrote the
# log and before the identity, which leaves what a killed start leaves.
version=$((version + 1))
wait_for 10 put_config 2 $version
stop m3 KILL
rm -rf "$TMP/d3"
sed -i "s/\[.*\]/[\"$NET.9:$API\"]/" "$TMP/m3.json"
start m3 "$BIN/groupd" -f "$TMP/m3.json"
wait_for 10 test -e "$TMP/d3/identity"
stop m3 KILL
rm "$TMP/d3/identity"
: >"$TMP/m3.out"
launch 3 false
wait_for 15 votes 3
check "the unfinished log was not discarded" grep -q wal-discard "$TMP/m3.out"

for i in 1 2 3; do stop m$i KILL; done
for i in 1 2 3; do launch $i false; done
for i in 1 2 3; do wait_for 15 has_config $i $version; done
echo "e2e_group: passed"
