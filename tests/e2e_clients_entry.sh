#!/usr/bin/env bash
# An entry instance and a control member on small machines, and clients that
# exceed the limits: each keeps to the memory and descriptors of its settings
# and answers an ordinary request while they stand.  Before clients were
# bounded, bodies that stop short and open connections made both hold more than
# their machines have.  One play by hand: bash tests/e2e_clients_entry.sh CASE
. "$(dirname "$0")/lib.sh"
. tests/t_control.sh
. tests/t_clients.sh

MEMORY_MB=64
MAX_FDS=500
ENTRY_BYTES=$((4 << 20))    # the limit on a request's body
CONTROL_BYTES=$((16 << 20)) # the limit on a change
ALL="short chunks ones whole over unlimited silent heads unread"

limit () { # NAME
	sed -i "s/{/{\"memory_mb\": $MEMORY_MB, \"max_fds\": $MAX_FDS,/;t" \
		"$TMP/$1.json"
}
entry_start () {
	cat >"$TMP/e1.json" <<-END
	{
	  "name": "e1", "domain": "north", "listen": "127.0.0.1:0",
	  "peer": "127.0.0.1:0", "admin": "127.0.0.1:0",
	  "control": ["127.0.0.1:1"], "ports_file": "$TMP/e1.ports",
	  "cluster_key_file": "$TMP/cluster.key",
	  "admin_token_file": "$TMP/admin.token"
	}
	END
	limit e1
	rm -f "$TMP/e1.ports"
	start e1 "$BIN/entryd" -f "$TMP/e1.json"
	wait_for 10 test -s "$TMP/e1.ports"
}
entry_answers () {
	[ "$(head -c 100000 /dev/zero | curl -s -m 5 -o "$TMP/answer" \
		-w '%{http_code}' --data-binary @- \
		"http://$(port_line e1 listen)/v1/chat/completions")" = 503 ] &&
		grep -q "no inventory yet" "$TMP/answer"
}
control_start () {
	rm -rf "$TMP/c1.data" "$TMP/c1.ports"
	member_set c1
	limit c1
	member_init c1
	start c1 "$BIN/controld" -f "$TMP/c1.json"
	wait_for 10 test -s "$TMP/c1.ports"
	wait_for 10 control_answers
}
control_answers () {
	admin c1 GET /v1/status | grep -q '"role": *"leader"'
}
finish_one () {
	stop c KILL
	rm -f "$TMP/c.stand"
	stop "$1" KILL
}
play () { # CASE BYTES ARGS...
	local name=$1
	shift
	entry_start
	crowd c -a "$(port_line e1 listen)" -b $ENTRY_BYTES -u /v1/x "$@"
	within e1 "$name"
	wait_for 20 entry_answers
	within e1 "$name, then an ordinary request"
	finish_one e1
	control_start
	crowd c -a "$(port_line c1 admin)" -b $CONTROL_BYTES -u /v1/x "$@"
	within c1 "$name"
	wait_for 20 control_answers
	within c1 "$name, then an ordinary request"
	finish_one c1
}

for name in ${*:-$ALL}; do
	case $name in
	short) play short -k short -n 40 -r 2 ;;
	chunks) play chunks -k chunks -n 40 -r 2 ;;
	ones) play ones -k ones -n 40 -b $((ENTRY_BYTES / 2)) ;;
	whole) play whole -k whole -n 40 -r 2 ;;
	over) play over -k short -n 40 -b $((64 << 20)) ;;
	unlimited) play unlimited -k unlimited -n 40 -b $((64 << 20)) ;;
	silent) play silent -k silent -n 800 ;;
	heads) play heads -k heads -n 200 -b 15000 ;;
	unread) play unread -k unread -n 150 -u /v1/status -q 20 ;;
	*) fail "no such case: $name" ;;
	esac
done
echo "e2e_clients_entry: passed"
