#!/usr/bin/env bash
# Broken answers of a service and an engine behind an entry instance: none
# reaches a caller as a complete answer, and each whole answer does.  Before, a
# caller got answers of status 000 to 099 and from 600 on.
. "$(dirname "$0")/lib.sh"
. bench/system.sh
. tests/t_answers.sh

UPLOAD_BYTES=$((4 << 20))

cat >"$TMP/broken.inventory.json" <<'END'
{
  "settings": { "suspect_strikes": 100 },
  "domains": [
    { "name": "north", "region": "city" }
  ],
  "entries": [
    { "name": "e1", "domain": "north", "peer": "${e1.peer}" }
  ],
  "classes": [
    { "name": "standard", "tier": 1, "ttft_ms": 5000, "itl_ms": 1000, "deadline_ms": 20000, "share_permille": 50 }
  ],
  "accounts": [
    { "name": "clerks", "class": "standard" }
  ],
  "keys": [],
  "endpoints": [
    { "name": "n1", "domain": "north", "addr": "${n1}", "models": ["small"], "cold_bound": 16, "warm_bound": 16 },
    { "name": "d1", "domain": "north", "addr": "${d1}", "kind": "service", "group": "desk", "cold_bound": 16, "warm_bound": 16 }
  ],
  "routes": [
    { "name": "completions", "prefix": "/v1/completions", "kind": "completions" },
    { "name": "any", "prefix": "/any", "kind": "service", "group": "desk", "class": "standard" },
    { "name": "once", "prefix": "/once", "kind": "service", "group": "desk", "class": "standard", "repeatable": false }
  ],
  "rules": []
}
END
standins_up () {
	local name
	for name in n1 d1; do
		start $name "$BIN/fake-raw" -p "$TMP/$name.port" \
			-d "$TMP/answers"
		wait_for 10 test -s "$TMP/$name.port"
		SUBST+=(-e "s/\${$name}/$(port_of $name)/")
	done
}
# asked PATH NAME FILE: "STATUS EXIT" once the endpoint is in use
asked () {
	wait_for 20 served "$1"
	ask "http://$(ports e1 listen)$1" "$2" -H "x-api-key: $KEY" \
		--data-binary "@$3"
}
served () {
	[ "$(ask "http://$(ports e1 listen)$1" none -H "x-api-key: $KEY" \
		-d '{"model":"small","prompt":"hi"}')" = "200 0" ]
}

head -c $UPLOAD_BYTES /dev/zero >"$TMP/upload"
echo small >"$TMP/small"
system_up "$TMP/broken.inventory.json"
KEY=$(printf '%s\n' "${DEFS[@]}" | sed -n 's/^key.clerks=//p')

# A service's answer without a length is never taken for whole.
for route in any once; do
	for name in $CUT until-close; do
		expect "$route, $name" "$(asked /$route $name "$TMP/upload")" \
			502-0
	done
	for name in $SHORT $STATUSES $NAMES; do
		expect "$route, $name" "$(asked /$route $name "$TMP/small")" \
			502-0
	done
	expect "$route, length-keep, upload" \
		"$(asked /$route length-keep "$TMP/upload")" 200-0
	expect_body "$route, length-keep, upload" "$BODY"
	for name in $WHOLE; do
		expect "$route, $name" "$(asked /$route $name "$TMP/small")" \
			200-0
		expect_body "$route, $name" "$BODY"
	done
	expect "$route, refused" "$(asked /$route refused "$TMP/small")" 413-0
	expect_body "$route, refused" "$BODY"
done

# Engines, whole answers and streams.  A stream is whole with its last event,
# whatever becomes of the connection.
COMPLETIONS=/v1/completions
prompt () { # STREAM
	echo "{\"model\":\"small\",\"stream\":$1,\"prompt\":\"$RANDOM\"}" \
		>"$TMP/prompt"
}
TYPE='Content-Type: text/event-stream'
EVENT='data: {"choices":[{"index":0,"text":"a"}]}\n\n'
LAST='data: [DONE]\n\n'
answer events-reset reset 'HTTP/1.1 200 OK' "$TYPE" "$EVENT"
answer events-fin fin 'HTTP/1.1 200 OK' "$TYPE" "$EVENT"
answer all-events-reset reset 'HTTP/1.1 200 OK' "$TYPE" "$EVENT$LAST"
answer all-events-fin fin 'HTTP/1.1 200 OK' "$TYPE" "$EVENT$LAST"
for stream in false true; do
	for name in $SHORT $STATUSES $NAMES; do
		prompt $stream
		expect "completions, stream $stream, $name" \
			"$(asked $COMPLETIONS $name "$TMP/prompt")" 502-0
	done
done
for name in $CUT; do
	prompt false
	expect "completions, $name" \
		"$(asked $COMPLETIONS $name "$TMP/prompt")" 502-0
done
for name in events-reset events-fin; do
	prompt true
	expect "completions, $name" \
		"$(asked $COMPLETIONS $name "$TMP/prompt")" 200-18 200-56
done
for name in all-events-reset all-events-fin; do
	prompt true
	expect "completions, $name" \
		"$(asked $COMPLETIONS $name "$TMP/prompt")" 200-0
done
check "the entry ended" alive e1
none_wrong
echo "e2e_answers_entry: passed"
