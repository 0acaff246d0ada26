#!/usr/bin/env bash
# A group that is still growing acknowledges nothing that too few disks hold.
. "$(dirname "$0")/lib.sh"

read -r PEER API _ <<<"$("$BIN/soak" -p)"
printf '%064d\n' 7 >"$TMP/key"
LOSSES=2
settings () { # MEMBER FOUND SEED...
	local n=$1 found=$2 seeds=
	shift 2
	for s in "$@"; do seeds="$seeds${seeds:+, }\"$NET.$s:$API\""; done
	cat >"$TMP/m$n.json" <<JSON
{"name": "m$n", "domain": "z$n", "peer": "$NET.$n:$PEER",
 "api": "$NET.$n:$API", "data_dir": "$TMP/d$n", "found": $found,
 "cluster_key_file": "$TMP/key", "platform": "127.0.0.1:1",
 "disk_losses": $LOSSES,
 "seeds": [$seeds]}
JSON
}
launch () { # MEMBER
	start "m$1" "$BIN/groupd" -f "$TMP/m$1.json"
}
put_config () { # MEMBER VERSION
	echo "{\"version\":$2,\"services\":[{\"name\":\"s\"}],\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"path_prefix\":\"/\",\"kind\":\"idempotent\",\"timeout_ms\":1000,\"service\":\"s\"}]}" |
		curl -sfL -m 3 -o "$TMP/answer" -X POST --data-binary @- \
			"http://$NET.$1:$API/api/config/replace"
}
not () {
	! "$@"
}
changed () { # WHAT MEMBER
	grep -q "group change=$1 .*addr=$NET.$2:.* ok=1" "$TMP"/m?.out
}
# A new member, until it votes.
join () { # MEMBER SEED...
	settings "$1" false "${@:2}"
	launch "$1"
	wait_for 10 changed promote "$1"
}
# Two of three founders run where two disks may be lost: nothing is acknowledged
# before a third disk holds it.
for i in 1 2; do
	settings $i true 1 2 3
	launch $i
done
wait_for 10 grep -q "role=leader" "$TMP/m1.out" "$TMP/m2.out"
for i in 1 2 1 2; do
	check "acknowledged on two disks" not put_config $i 99
done
join 4 1 2 3
wait_for 10 put_config 1 99
echo "e2e_members: passed"
