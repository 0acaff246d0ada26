#!/usr/bin/env bash
# dhctl against real control members and an entry: changes and conflicts, keys
# with and without a quorum, a lost leader, a replaced member.
. "$(dirname "$0")/lib.sh"
. tests/t_control.sh

ctl () {
	"$BIN/dhctl" -c "$CONTROL" -t "$TMP/admin.token" \
		-k "$TMP/cluster.key" -T 5 "$@" >"$TMP/ctl" 2>&1
}

# expect STATUS TEXT ARGS...: exit status, and a line that holds TEXT
expect () {
	local want=$1 text=$2 got
	shift 2
	ctl "$@"
	got=$?
	if [ "$got" -ne "$want" ] || ! grep -q -- "$text" "$TMP/ctl"; then
		cat "$TMP/ctl"
		fail "dhctl $*: status $got, not $want, or no line: $text"
	fi
}

addresses () {
	local name list=
	for name in "$@"; do
		list=$list,$(port_line "$name" admin)
	done
	CONTROL=${list#,}
}

entry_start () {
	cat >"$TMP/$1.json" <<-END
	{
	  "name": "$1", "domain": "$2", "listen": "127.0.0.1:0",
	  "peer": "127.0.0.1:0", "admin": "127.0.0.1:0",
	  "control": ["$(port_line c1 peer)", "$(port_line c2 peer)",
	    "$(port_line c3 peer)"],
	  "cluster_key_file": "$TMP/cluster.key",
	  "admin_token_file": "$TMP/admin.token", "ports_file": "$TMP/$1.ports"
	}
	END
	start "$1" "$BIN/entryd" -f "$TMP/$1.json"
	wait_for 10 test -s "$TMP/$1.ports"
}

in_force () {
	ctl show entries && grep -q "$1 .*yes" "$TMP/ctl"
}

unsafe () {
	! ctl safe-to-stop "$1" && grep -q quorum "$TMP/ctl"
}

group 3
addresses c3 c2 c1

expect 0 revision apply docs/examples/inventory.json
base=$(sed -n 's/^revision //p' "$TMP/ctl")
expect 3 "revision $base is in force" --base $((base - 1)) apply \
	docs/examples/inventory.json
expect 0 "^$base\$" show revision
expect 4 "not confirmed: e2" --wait -T 1 drain domain north
expect 0 '+ {"name":"north","region":"city"}' diff docs/examples/inventory.json
expect 0 revision undrain domain north
expect 1 "no domain is named west" drain domain west
expect 1 "no client account is named" grant nobody

entry_start e1 north
wait_for 10 in_force e1
expect 0 'e2  *south .*no' show entries
entry=$(port_line e1 admin)

expect 0 "^key dh-" grant clerks
id=$(sed -n 's/^id //p' "$TMP/ctl")
expect 0 "$id  *granted" show keys
expect 4 "not confirmed: e2" -e "$entry" -T 1 withdraw "$id"
grep -q "not confirmed: e1" "$TMP/ctl" && fail "e1 did confirm"
expect 0 "$id  *withdrawn" show keys
expect 0 "e1 .*up" -e "$entry" show status
expect 0 "n1 " -e "$entry" show endpoints
expect 0 classes -e "$entry" report
expect 1 "e1: not safe to stop" -e "$entry" safe-to-stop e1
expect 0 "c2: safe to stop" safe-to-stop c2
expect 1 "no instance" safe-to-stop nobody

echo "leader lost"
# On a busy machine the leader may change at any moment.
leader_found () {
	old=$(leader) && [ -n "$old" ]
}
wait_for 10 leader_found
stop "$old" KILL
expect 0 revision drain endpoint s1
expect 0 "term" show leader
check "another leads" test "$(awk '{print $1}' "$TMP/ctl")" != "$old"
left=$(for m in c1 c2 c3; do [ "$m" = "$old" ] || echo "$m"; done)
set -- $left
# What the old leader said of who takes part counts for a moment longer.
wait_for 5 unsafe "$1"

echo "lost member replaced, its disk gone"
oldid=$(cat "$TMP/$old.id")
member_set c4
member_join c4
member_start c4
expect 0 done control replace "$oldid" "$(cat "$TMP/c4.id")" c4 \
	"$(port_line c4 peer)" north
# A follower may be a moment behind.
replaced () {
	ctl show members && grep -q "c4 .*true" "$TMP/ctl" &&
		! grep -q "$old " "$TMP/ctl"
}
wait_for 5 replaced
wait_for 5 ctl safe-to-stop "$1"

echo "no quorum: the entry takes a withdrawal all the same"
addresses $left c4
expect 0 "^key dh-" grant clerks
id=$(sed -n 's/^id //p' "$TMP/ctl")
stop "$1" KILL
stop c4 KILL
expect 4 "$entry took it" -e "$entry" -T 1 withdraw "$id"
check "told as not logged" grep -q "not logged yet" "$TMP/ctl"
expect 1 . -T 1 drain endpoint s1
expect 1 "no quorum" -T 1 grant clerks
