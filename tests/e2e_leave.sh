#!/usr/bin/env bash
# A graceful shutdown cuts no request: all entries are restarted one after
# another under load, behind a balancer that looks at /readyz.  An entry accepts
# connections for BALANCER_WAIT_MS after it stopped being ready, so a balancer
# whose look is older than that may find it closed; nothing else is allowed.
. "$(dirname "$0")/lib.sh"
. bench/system.sh

WORKERS=8
BALANCER_WAIT_MS=500
CURL_CONNECT_FAILED=7
BODY='{"model":"small","stream":true,"messages":[{"role":"user","content":"hi"}],"x_tokens":20}'

now_ms () {
	echo $(($(date +%s%N) / 1000000))
}

# The balancer's view: entries that were ready when last looked at, and when
# that look began.
balance () {
	local name looked_ms
	while [ ! -e "$TMP/end" ]; do
		for name in e1 e2 e3 e4; do
			looked_ms=$(now_ms)
			ready "$(ports $name listen)" >/dev/null &&
				echo "$name $looked_ms"
		done >"$TMP/ready.new"
		mv "$TMP/ready.new" "$TMP/ready"
		sleep 0.05
	done
}

# stale NAME LOOKED_MS REFUSED_MS: whether the connection was refused because
# the balancer looked before SIGTERM and used the result after the wait
stale () {
	local term_ms
	term_ms=$(cat "$TMP/term.$1" 2>/dev/null) || return 1
	[ "$2" -le "$term_ms" ] && [ "$3" -ge $((term_ms + BALANCER_WAIT_MS)) ]
}

whole () {
	grep -q '^data: \[DONE\]' "$1" && [ "$(grep -c '"content"' "$1")" = 20 ]
}

# One caller after another; a stream that is not whole is written down.
work () {
	local name looked_ms status n=0
	while [ ! -e "$TMP/end" ]; do
		read -r name looked_ms < <(shuf -n 1 "$TMP/ready")
		[ -n "$name" ] || continue
		curl -sSN -m 20 -H "x-api-key: $KEY" -d "$BODY" \
			"$(ports "$name" listen)/v1/chat/completions" \
			>"$TMP/a.$1" 2>"$TMP/err.$1"
		status=$?
		if [ $status = 0 ] && whole "$TMP/a.$1"; then
			n=$((n + 1))
		elif [ $status = $CURL_CONNECT_FAILED ] &&
			stale "$name" "$looked_ms" "$(now_ms)"; then
			echo "$name" >>"$TMP/stale.$1"
		else
			cat "$TMP/a.$1" "$TMP/err.$1" >"$TMP/bad.$1.$n.$name"
		fi
		echo $n >"$TMP/count.$1"
	done
}

ENTRY_QUIET=
system_add "\"balancer_wait_ms\": $BALANCER_WAIT_MS"
system_up bench/scenarios/demo.inventory.json slots=16 itl_us=20000
KEY=$(printf '%s\n' "${DEFS[@]}" | sed -n 's/^key.clerks=//p')
echo "e1 $(now_ms)" >"$TMP/ready"
balance &
JOBS=($!)
for ((w = 0; w < WORKERS; w++)); do
	work $w &
	JOBS+=($!)
done
served () {
	cat "$TMP"/count.* 2>/dev/null | awk '{ n += $1 } END { exit n < 20 }'
}
wait_for 20 served
for name in e1 e2 e3 e4; do
	check "$name is running" alive $name
	pid=${PID[$name]}
	now_ms >"$TMP/term.$name"
	kill -TERM "$pid"
	gone () {
		! kill -0 "$pid" 2>/dev/null
	}
	wait_for 30 gone
	wait "$pid" || fail "$name ended with status $?"
	check "$name left in order" grep -q 'leave step=done' "$TMP/$name.log"
	start $name "$BIN/entryd" -f "$TMP/$name.json"
	wait_for 20 ready "$(ports $name listen)"
done
touch "$TMP/end"
wait "${JOBS[@]}"
cat "$TMP"/count.* | awk '{ n += $1 } END { print n " streams whole" }'
cat "$TMP"/stale.* 2>/dev/null | awk 'END { print NR " looks too old" }'
ls "$TMP"/bad.* >/dev/null 2>&1 &&
	fail "cut or refused: $(ls "$TMP"/bad.*; cat "$TMP"/bad.* | head -c 2000)"
echo ok
