#!/usr/bin/env bash
# A service behind an entry instance answers an upload before it has read all of
# it, and then ends the connection: the answer is whole by its length or chunks
# and reaches the caller.  The entry's client reads no answer before the request
# is written, and that write fails.
. "$(dirname "$0")/lib.sh"
. bench/system.sh
. tests/t_answers.sh
. tests/t_answers_entry.sh

for route in any once; do
	for name in $WHOLE; do
		expect "$route, $name" "$(asked /$route $name "$TMP/upload")" \
			200-0
		expect_body "$route, $name" "$BODY"
	done
	expect "$route, refused" "$(asked /$route refused "$TMP/upload")" 413-0
	expect_body "$route, refused" "$BODY"
done
none_wrong
echo "e2e_answers_early: passed"
