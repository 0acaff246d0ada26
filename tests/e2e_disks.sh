#!/usr/bin/env bash
# The disks of a group's members are full one after another, never two at once,
# while changes come and snapshots are due.  Once the last one has room again,
# changes are acknowledged within the time for a new leader, and none that was
# acknowledged before is lost.  One play by hand, with MEMBERS of 3 or 5:
#   bash tests/e2e_disks.sh MEMBERS "ORDER" GAP_S SPELL_S
# and all orders: ALL=1 bash tests/e2e_disks.sh
. "$(dirname "$0")/lib.sh"

ACK_MS=4000 # bound on the first acknowledgement, from the rules: ack_ms

# Each order of the members 1 to $1, a line each; $2: those before.
orders () {
	local i rest=
	for ((i = 1; i <= $1; i++)); do
		[[ " $2" = *" $i "* ]] && continue
		rest=1
		orders "$1" "$2$i "
	done
	[ -n "$rest" ] || echo "$2"
}

if [ $# = 0 ]; then
	plays=("3|1 2 3|0|2" "3|3 1 2|0.3|2" "3|2 3 1|1|3" "3|3 2 1|2|2"
		"5|1 2 3 4 5|0|1.5" "5|4 2 5 1 3|0.5|2")
	if [ -n "${ALL:-}" ]; then
		plays=()
		gaps=(0 0.2 1 2 5 10)
		at=0
		while read -r order; do
			for gap in "${gaps[@]}"; do
				plays+=("3|$order|$gap|2")
			done
			plays+=("3|$order|0|0.7")
		done < <(orders 3 "")
		while read -r order; do
			plays+=("5|$order|${gaps[at++ % ${#gaps[@]}]}|2")
		done < <(orders 5 "")
	fi
	status=0 net=0 batch=0
	for play in "${plays[@]}"; do
		IFS='|' read -r n order gap spell <<<"$play"
		net=$((net % 200 + 1))
		bash "$0" "$n" "$order" "$gap" "$spell" \
			>"$TMP/play.$net" 2>&1 &
		PID[play$net]=$!
		batch=$((batch + 1))
		if [ $batch = 6 ] || [ "$play" = "${plays[-1]}" ]; then
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

# What the members decided, and which changes were acknowledged when.
fail () {
	echo "FAIL: members $N, order $ORDER, gap $GAP_S s: $*"
	grep -hE ' (role|storage|storage-up|group|created?|loaded|acknowledge) ' \
		"$TMP"/m*.out | sort | tail -n 60
	echo "acknowledged:"
	tail -n 5 "$TMP/acked"
	echo "not acknowledged:"
	tail -n 20 "$TMP/open" 2>/dev/null
	exit 1
}

N=$1 ORDER=$2 GAP_S=$3 SPELL_S=$4
# In memory where that is possible: the other work of a machine must not stall
# the disks of all members at once.
DATA=$(mktemp -d -p /dev/shm 2>/dev/null || mktemp -d -p "$TMP")
trap 'status=$?; rm -rf "$DATA"; (exit $status); finish' EXIT
read -r PEER API _ <<<"$("$BIN/soak" -p)"
printf '%064d\n' 7 >"$TMP/key"
SEEDS=
ROUTES=
for ((i = 1; i <= N; i++)); do
	SEEDS+="${SEEDS:+,}\"$NET.$i:$API\""
done
for ((i = 0; i < 150; i++)); do
	ROUTES+=",{\"name\":\"r$i\",\"host\":\"h\",\"path_prefix\":\"/$i/\",\"kind\":\"idempotent\",\"timeout_ms\":1000,\"service\":\"s\"}"
done

launch () { # MEMBER
	cat >"$TMP/m$1.json" <<JSON
{"name": "m$1", "domain": "z$1", "peer": "$NET.$1:$PEER",
 "api": "$NET.$1:$API", "data_dir": "$DATA/d$1", "found": true,
 "cluster_key_file": "$TMP/key", "platform": "127.0.0.1:1",
 "seeds": [$SEEDS]}
JSON
	start "m$1" "$BIN/groupd" -f "$TMP/m$1.json"
}

put_config () { # MEMBER VERSION
	echo "{\"version\":$2,\"services\":[{\"name\":\"s\"}],\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"path_prefix\":\"/\",\"kind\":\"idempotent\",\"timeout_ms\":1000,\"service\":\"s\"}$ROUTES]}" |
		curl -sfL -m 1 -o /dev/null -X POST --data-binary @- \
			"http://$NET.$1:$API/api/config/replace"
}

read_version () { # MEMBER
	curl -sfL -m 2 "http://$NET.$1:$API/api/config/get" |
		sed -n 's/^{"version":\([0-9]*\),.*/\1/p'
}

holds () { # MEMBER VERSION
	[ "$(read_version "$1")" -ge "$2" ]
}

# An operator that asks one member after the other.
write_on () {
	local version=10 at=1
	while [ ! -e "$TMP/enough" ]; do
		if put_config $at $version; then
			echo "$(date +%s%3N) $version" >>"$TMP/acked"
			version=$((version + 1))
		else
			echo "$(date +%s%3N) $version" >>"$TMP/open"
			version=$((version + 1))
			at=$((at % N + 1))
			sleep 0.05
		fi
	done
}

set_space () { # MEMBER BYTES
	prlimit --pid "${PID[m$1]}" --fsize="$2:unlimited"
}

for ((i = 1; i <= N; i++)); do launch $i; done
wait_for 15 put_config 1 5
: >"$TMP/acked"
write_on &
PID[writer]=$!
wait_for 5 test -s "$TMP/acked"
for i in $ORDER; do
	set_space "$i" 1
	sleep "$SPELL_S"
	set_space "$i" unlimited
	ROOM_MS=$(date +%s%3N)
	sleep "$GAP_S"
done
acked_since () {
	awk -v t="$ROOM_MS" '$1 > t { print $1 - t; exit }' "$TMP/acked"
}
have_ack () {
	[ -n "$(acked_since)" ]
}
wait_for 20 have_ack
WAITED_MS=$(acked_since)
sleep 2
touch "$TMP/enough"
wait "${PID[writer]}"
unset "PID[writer]"
LAST=$(tail -n 1 "$TMP/acked" | cut -d' ' -f2)
for ((i = 1; i <= N; i++)); do
	check "member $i ended" alive m$i
	wait_for 10 holds $i "$LAST"
done
echo "members $N, order $ORDER, gap $GAP_S s, spells $SPELL_S s: first" \
	"acknowledgement after $WAITED_MS ms," \
	"$(wc -l <"$TMP/acked") acknowledged," \
	"$(grep -c . "$TMP/open" 2>/dev/null || echo 0) not," \
	"$(cat "$TMP"/m*.out | grep -c ' snapshot ') snapshots," \
	"$(cat "$TMP"/m*.out | grep -c storage-up) disks recovered"
check "acknowledged late" test "$WAITED_MS" -lt $ACK_MS
