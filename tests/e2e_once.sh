#!/usr/bin/env bash
# Calls that may not be repeated run at most once: resends here and elsewhere,
# a lost answer, a killed entry, a killed endpoint, no control.  What ran is
# read at the service itself.
. "$(dirname "$0")/lib.sh"
. bench/system.sh

# book ENTRY KEY BODY [CURL-OPTION...]: prints "STATUS RAN"; the answer is in $TMP/answer
book () {
	curl -s -m 15 "${@:4}" -o "$TMP/answer" -D "$TMP/head" -w '%{http_code} ' \
		-H "authorization: Bearer $ACCOUNT_KEY" \
		-H "idempotency-key: $2" -d "$3" \
		"$(ports "$1" listen)/desk/book"
	sed -n 's/^x-ran: \([a-z]*\).*/\1/p' "$TMP/head"
}

# runs TAG: how often the service ran it
runs () {
	curl -sf -m 5 "$(port_of d1)/_ran" |
		grep -o "\"$1\":[0-9]*" | cut -d: -f2 | grep . || echo 0
}

expect () {
	local what=$1 want=$2 got=$3
	[ "$got" = "$want" ] || fail "$what: got '$got', expected '$want'"
}

system_up bench/scenarios/demo.inventory.json slots=8
for ((i = 0; i < ${#DEFS[@]}; i++)); do
	case ${DEFS[i]} in
	key.dealers=*) ACCOUNT_KEY=${DEFS[i]#*=} ;;
	esac
done

echo "a resend, here and elsewhere, gets the first answer"
expect "first" "200 yes" "$(book e1 k1 '{"tag":"t1"}')"
cp "$TMP/answer" "$TMP/first"
expect "resend" "200 yes" "$(book e1 k1 '{"tag":"t1"}')"
check "same answer" cmp -s "$TMP/first" "$TMP/answer"
expect "resend elsewhere" "200 yes" "$(book e2 k1 '{"tag":"t1"}')"
check "same answer" cmp -s "$TMP/first" "$TMP/answer"
expect "ran once" 1 "$(runs t1)"
# counter ENTRY NAME: of the class that bookings are in
counter () {
	curl -sf -m 5 "$(ports "$1" listen)/metrics" |
		sed -n "s/^dragonflyhinge_$2_total{class=\"interactive\"} //p"
}
expect "counted once where it ran" 1 "$(counter e1 whole)"
expect "not counted elsewhere" "" "$(counter e2 whole | grep -v '^0$')"

echo "the same key with another body is a conflict"
expect "other body" "422 no" "$(book e2 k1 '{"tag":"t1b"}')"
expect "did not run" 0 "$(runs t1b)"
expect "other method" "422 no" "$(book e2 k1 '{"tag":"t1"}' -X PUT)"

echo "a lost answer is unknown, and no resend runs it again"
fault d1 '{"lose":1}'
expect "lost" "502 unknown" "$(book e1 k2 '{"tag":"t2"}')"
expect "ran once" 1 "$(runs t2)"
for entry in e1 e2 e3; do
	expect "resend at $entry" "409 unknown" "$(book $entry k2 '{"tag":"t2"}')"
done
expect "still once" 1 "$(runs t2)"

echo "the same at the same time through four entries"
fault d1 '{"delay_ms":300}'
SENT=()
for entry in e1 e2 e3 e4; do
	curl -s -m 15 -o /dev/null -w '%{http_code}\n' \
		-H "authorization: Bearer $ACCOUNT_KEY" \
		-H "idempotency-key: k3" -d '{"tag":"t3"}' \
		"$(ports $entry listen)/desk/book" >"$TMP/s.$entry" &
	SENT+=($!)
done
wait "${SENT[@]}"
expect "ran once" 1 "$(runs t3)"
expect "one answer" 1 "$(cat "$TMP"/s.e? | grep -c 200)"
fault d1 '{"delay_ms":0}'
expect "resend" "200 yes" "$(book e2 k3 '{"tag":"t3"}')"
expect "still once" 1 "$(runs t3)"

echo "an entry killed while the call runs"
fault d1 '{"delay_ms":1500}'
book e4 k4 '{"tag":"t4"}' >/dev/null &
SENT=$!
ran_t4 () {
	[ "$(runs t4)" = 1 ]
}
wait_for 10 ran_t4
stop e4 KILL
wait "$SENT"
fault d1 '{"delay_ms":0}'
got=$(book e1 k4 '{"tag":"t4"}')
expect "resend is not run" "409 unknown" "$got"
expect "still once" 1 "$(runs t4)"

echo "no control: refused, and truly not run"
stop c1 KILL
expect "refused" "503 no" "$(book e1 k5 '{"tag":"t5"}')"
expect "did not run" 0 "$(runs t5)"
start c1 "$BIN/controld" -f "$TMP/c1.json"
wait_for 20 ctl show leader
# Each entry finds control again by itself, after a pause of its own.
again () {
	[ "$(book "$1" k5 '{"tag":"t5"}')" = "200 yes" ]
}
wait_for 20 again e1
wait_for 20 again e2
expect "ran once" 1 "$(runs t5)"

echo "an endpoint killed: the call is unknown, and is not run elsewhere"
fault d1 '{"crash_after":1}'
got=$(book e2 k6 '{"tag":"t6"}')
expect "lost" "502 unknown" "$got"
expect "resend" "409 unknown" "$(book e2 k6 '{"tag":"t6"}')"

echo "nobody there: not run, and a resend may run"
got=$(book e2 k7 '{"tag":"t7"}')
expect "not run" "503 no" "$got"
# Not after its deadline, but as soon as the service is known to be away.
dark () {
	[ "$(book e2 k8 '{"tag":"t8"}')" = "503 no" ] &&
		grep -q '"code":"no_endpoint"' "$TMP/answer" &&
		grep -qi '^retry-after: [1-9]' "$TMP/head"
}
wait_for 10 dark
expect "an old answer is still there" "200 yes" \
	"$(book e2 k1 '{"tag":"t1"}')"
echo ok
