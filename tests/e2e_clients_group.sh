#!/usr/bin/env bash
# A member of the group on a small machine, and operators' clients that exceed
# the limits: it keeps to the memory and descriptors of its settings, and answers
# a change and a read of the configuration while they stand.  Before clients
# were bounded, bodies that stop short, whole bodies, open connections and
# answers that nobody reads made it hold more than its machine has.  One play by
# hand: bash tests/e2e_clients_group.sh CASE
. "$(dirname "$0")/lib.sh"
. tests/t_clients.sh

MEMORY_MB=64
MAX_FDS=500
BODY_BYTES=$((3 << 20)) # the limit on a configuration
CONFIG=/api/config/replace
ALL="calm short chunks ones whole values over unlimited silent heads unread"

printf '%064d\n' 7 >"$TMP/key"
read -r PEER API _ <<<"$("$BIN/soak" -p)"
cat >"$TMP/m.json" <<JSON
{"name": "m", "domain": "z1", "peer": "127.0.0.1:$PEER",
 "api": "127.0.0.1:$API", "data_dir": "$TMP/data", "found": true,
 "cluster_key_file": "$TMP/key", "platform": "127.0.0.1:1",
 "memory_mb": $MEMORY_MB, "max_fds": $MAX_FDS,
 "seeds": ["127.0.0.1:$API"]}
JSON
VERSION=1
configure () { # BYTES
	VERSION=$((VERSION + 1))
	{
		head -c "$1" /dev/zero | tr '\0' ' '
		echo "{\"version\":$VERSION,\"services\":[{\"name\":\"s\"}],
			\"routes\":[]}"
	} >"$TMP/config"
	curl -sf -m 5 -o /dev/null --data-binary @"$TMP/config" \
		"http://127.0.0.1:$API$CONFIG"
}
is_configured () {
	curl -sf -m 5 "http://127.0.0.1:$API/api/config/get" |
		grep -q "\"version\":$VERSION,"
}
restart () {
	stop m KILL
	rm -rf "$TMP/data"
	start m "$BIN/groupd" -f "$TMP/m.json"
	wait_for 15 configure 1000
}
end_crowd () {
	stop c KILL
	rm -f "$TMP/c.stand"
}
play () { # CASE ARGS...
	local name=$1
	shift
	[ "$name" = unread ] || restart
	crowd c -a "127.0.0.1:$API" "$@"
	within m "$name"
	wait_for 20 configure 1000
	wait_for 20 is_configured
	within m "$name, then an ordinary request"
	end_crowd
}

for name in ${*:-$ALL}; do
	case $name in
	calm)
		restart
		check "a body of the full limit was refused" \
			configure $((BODY_BYTES - 200))
		wait_for 5 is_configured
		within m calm
		;;
	short) play short -k short -n 80 -b $BODY_BYTES -u $CONFIG -r 2 ;;
	chunks) play chunks -k chunks -n 80 -b $BODY_BYTES -u $CONFIG -r 2 ;;
	ones) play ones -k ones -n 60 -b $((BODY_BYTES / 2)) -u $CONFIG -r 1 ;;
	whole) play whole -k whole -n 80 -b $BODY_BYTES -u $CONFIG -r 2 ;;
	values)
		play values -k whole -n 20 -b $BODY_BYTES -u $CONFIG -v "[], "
		;;
	over) play over -k short -n 60 -b $((64 << 20)) -u $CONFIG ;;
	unlimited)
		play unlimited -k unlimited -n 60 -b $((64 << 20)) -u $CONFIG
		;;
	silent) play silent -k silent -n 800 ;;
	heads) play heads -k heads -n 200 -b 15000 -u $CONFIG ;;
	unread)
		restart
		wait_for 15 configure 1000000
		play unread -k unread -n 150 -u /api/config/get -q 20
		;;
	*) fail "no such case: $name" ;;
	esac
done
echo "e2e_clients_group: passed"
