#!/usr/bin/env bash
# Members come and go, one after the other, and the group keeps what it
# acknowledged: voters that were stopped for good, one that was away while the
# others were replaced, and a disk that is lost before the silence of a removed
# member was noticed.  Each of these ended the group: its voters that were left, or
# that found it again, were too few for a leader.  And a group that is still
# growing acknowledges nothing that too few disks hold.
. "$(dirname "$0")/lib.sh"

read -r PEER API _ <<<"$("$BIN/soak" -p)"
printf '%064d\n' 7 >"$TMP/key"
VERSION=1
LOSSES=1
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
has_config () { # MEMBER
	curl -sfL -m 3 "http://$NET.$1:$API/api/config/get" |
		grep -q "\"version\":$VERSION,"
}
acknowledge () { # MEMBER
	VERSION=$((VERSION + 1))
	wait_for 10 put_config "$1" $VERSION
}
not () {
	! "$@"
}
changed () { # WHAT MEMBER
	grep -q "group change=$1 .*addr=$NET.$2:.* ok=1" "$TMP"/m?.out
}
found_group () { # three members with one configuration
	for i in 1 2 3; do
		settings $i true 1 2 3
		launch $i
	done
	acknowledge 1
}
# A new member, until it votes.
join () { # MEMBER SEED...
	settings "$1" false "${@:2}"
	launch "$1"
	wait_for 10 changed promote "$1"
}
lose_disk () { # MEMBER SEED...
	stop "m$1" KILL
	rm -rf "$TMP/d$1"
	settings "$1" false "${@:2}"
	launch "$1"
}
end_play () {
	local i
	for i in 1 2 3 4 5 6; do stop "m$i" KILL; done
	rm -rf "$TMP"/d? "$TMP"/m?.out
}

# Two of three founders run where two disks may be lost: nothing is acknowledged
# before a third disk holds it.
LOSSES=2
for i in 1 2; do
	settings $i true 1 2 3
	launch $i
done
wait_for 10 grep -q "role=leader" "$TMP/m1.out" "$TMP/m2.out"
for i in 1 2 1 2; do
	check "acknowledged on two disks" not put_config $i 99
done
join 4 1 2 3
VERSION=99
wait_for 10 put_config 1 $VERSION
end_play
LOSSES=1
VERSION=1

# Two are added, two of the old ones are killed for good, one disk is lost.
two_replaced () {
	found_group
	join 4 1 2 3
	join 5 1 2 3
	stop m1 KILL
	sleep "$1"
	stop m2 KILL
	wait_for 10 changed drop 1
	wait_for 10 changed drop 2
	acknowledge 3
	lose_disk 5 3 4 5
	for i in 3 4 5; do wait_for 12 has_config $i; done
	acknowledge 5
	end_play
}
two_replaced 0
two_replaced 4

# Two are stopped, the second one before the first was removed: it stays until that
# is done, since two of four voters could remove nobody.
found_group
join 4 1 2 3
stop m1 TERM
sleep 0.7
stop m2 TERM
wait_for 5 changed drop 1
acknowledge 4
wait_for 5 has_config 3
end_play

# One is away while the others are replaced by members that have it among their
# seeds, and one of which loses its disk later.  All that it knows are gone.
found_group
stop m3 KILL
join 4 1 2 3
wait_for 10 changed drop 3
stop m1 TERM
join 5 2 3 4
wait_for 10 changed drop 1
stop m2 TERM
launch 3
wait_for 10 changed promote 3
wait_for 10 changed drop 2
acknowledge 3
lose_disk 4 3 4 5
for i in 3 4 5; do wait_for 12 has_config $i; done
end_play

# None of the new ones has it among their seeds: it finds them by its settings,
# on SIGHUP at once.  Settings that can't be used change nothing.
found_group
left_out=${PID[m3]}
kill -STOP "$left_out"
join 4 1 2
wait_for 10 changed drop 3
stop m1 TERM
join 5 2 4
wait_for 10 changed drop 1
stop m2 TERM
join 6 4 5
wait_for 10 changed drop 2
# Ends the links that the others hold to it still.
for i in 4 5 6; do
	stop m$i KILL
	settings $i false 4 5 6
done
for i in 4 5 6; do launch $i; done
wait_for 10 has_config 4
echo "{" >"$TMP/m3.json"
kill -CONT "$left_out"
kill -HUP "$left_out"
wait_for 5 grep -q "reload verdict=kept_old" "$TMP/m3.out"
settings 3 false 4 5 6
kill -HUP "$left_out"
wait_for 5 grep -q "reload verdict=ok" "$TMP/m3.out"
wait_for 10 changed promote 3
wait_for 5 has_config 3
end_play

# A member is killed for good, and another one loses its disk at once: two of
# four voters are left, and no leader to remove anybody.
found_group
join 4 1 2 3
acknowledge 1
stop m1 KILL
lose_disk 2 2 3 4
for i in 2 3 4; do wait_for 12 has_config $i; done
acknowledge 2
end_play
echo "e2e_members: passed"
