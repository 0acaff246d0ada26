#!/usr/bin/env bash
# Broken answers of a service and an engine behind an entry instance: none
# reaches a caller as a complete answer, and each whole answer does.  Before, a
# caller got answers of status 000 to 099 and from 600 on.
. "$(dirname "$0")/lib.sh"
. bench/system.sh
. tests/t_answers.sh
. tests/t_answers_entry.sh

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
# What may have run is not sent again where that is not allowed.
for name in $CUT $SHORT $STATUSES $NAMES; do
	before=$(arrivals d1 $name)
	expect "once again, $name" "$(asked /once $name "$TMP/small")" 502-0
	expect "arrivals, $name" "$(($(arrivals d1 $name) - before))" 1
done

# A server whose every status is invalid has not ended: the requests that were
# there are no suspects.
down () {
	grep -c 'change=down' "$TMP/e1.log"
}
before=$(down)
answer metrics keep 'HTTP/1.1 000 Trouble' 'Content-Length: 0' ''
expect "all of status 000" "$(asked /any status-000 "$TMP/small")" 502-0
expect "taken for dead" "$(($(down) - before))" 0
check "the entry ended" alive e1
none_wrong
echo "e2e_answers_entry: passed"
