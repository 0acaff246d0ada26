#!/usr/bin/env bash
# Three control members over real processes: races of operators, lost answers,
# several hundred changes with restarts, a snapshot to a member that was away,
# restarts in the middle.  What was accepted is never taken back.
set -u
source "$(dirname "$0")/lib.sh"
source tests/t_control.sh

# An empty folder does not start, and a used one is not made anew.
member_set c9
check "an empty folder must be refused" \
	test "$("$BIN/controld" -f "$TMP/c9.json" 2>&1 | grep -c -- --init)" = 1
group 3
member_init c1 2>/dev/null && fail "a used folder was made anew"
curl -s -o /dev/null -w '%{http_code}' "http://$(port_line c1 admin)/v1/status" |
	grep -q 403 || fail "no token, and yet an answer"

l=$(leader)
rev=$(field "$l" revision)

# Equal bases: of eight at once one wins, the others name what is in force.
for i in 1 2 3 4 5 6 7 8; do
	apply "$l" "$rev" "race$i" "$(doc "$i")" >"$TMP/race$i" &
	racers="${racers:-} $!"
done
wait $racers
won=$(grep -l "^{\"revision\":$((rev + 1))}" "$TMP"/race? | wc -l)
lost=$(grep -l "\"conflict\".*\"revision\": $((rev + 1))" "$TMP"/race? | wc -l)
[ "$won $lost" = "1 7" ] || fail "race: $won won, $lost lost: $(cat "$TMP"/race?)"

# A resend under the same id gets the first answer, from another leader, too.
winner=$(basename "$(grep -l '^{"revision"' "$TMP"/race?)")
loser=$(basename "$(grep -l conflict "$TMP"/race? | head -1)")
resend () {
	apply "$(leader)" "$rev" "$1" "$(doc "${1#race}")"
}
[ "$(resend "$winner")" = "{\"revision\":$((rev + 1))}" ] || fail "resend"
stop "$l" KILL
wait_for 10 has_leader
[ "$(resend "$winner")" = "{\"revision\":$((rev + 1))}" ] ||
	fail "resend to the next leader: $(resend "$winner")"
resend "$loser" | grep -q conflict || fail "a lost race was won on resend"
rev=$((rev + 1))

# The killed member stays away for several hundred changes and a snapshot.
away=$l
l=$(leader)
for ((i = 1; i <= 1200; i++)); do
	echo "next"
	echo "url = \"http://$(port_line "$l" admin)/v1/withdraw?key=k$i\""
	echo "header = \"Authorization: Bearer $TOKEN\""
	echo "request = POST"
	echo "output = /dev/null"
done | tail -n +2 >"$TMP/withdraw.curl"
curl -s -Z --parallel-max 40 -K "$TMP/withdraw.curl" ||
	fail "withdrawals"
# apply_at_leader BASE CHANGE DOC: sets "answer", and "l" to who gave it.  On a
# busy machine another member may come to lead at any time; the one asked says
# so, and the same change goes to the next leader.
find_leader () {
	l=$(leader)
}
apply_at_leader () {
	answer=$(apply "$l" "$@")
	while [[ $answer == *not_leader* ]]; do
		wait_for 10 find_leader
		answer=$(apply "$l" "$@")
	done
}
for ((i = 1; i <= 300; i++)); do
	apply_at_leader "$rev" "many$i" "$(doc "many$i")"
	[ "$answer" = "{\"revision\":$((rev + 1))}" ] || fail "change $i: $answer"
	rev=$((rev + 1))
	# Restarts on the way, of the leader as well.
	if ((i % 100 == 50)); then
		stop "$l" KILL
		member_start "$l"
		wait_for 10 has_leader
		l=$(leader)
	fi
done
[ "$(field "$l" snapshot)" -gt 1000 ] || fail "no snapshot was made"

withdrawn () {
	[ "$(admin "$1" GET /v1/keys | grep -o withdrawn | wc -l)" = 1200 ]
}
member_start "$away"
for m in c1 c2 c3; do
	wait_for 10 revision_is "$m" "$rev"
	admin "$m" GET /v1/inventory | grep -q '"nmany300"' || fail "$m reverted"
	wait_for 10 withdrawn "$m"
done
grep -q snapshot-install "$TMP/$away.log" || fail "no snapshot was sent"

# All at once, as a power cut does it: nothing accepted is lost.
for m in c1 c2 c3; do stop "$m" KILL; done
for m in c1 c2 c3; do member_start "$m"; done
wait_for 10 has_leader
for m in c1 c2 c3; do
	wait_for 10 revision_is "$m" "$rev"
	wait_for 10 withdrawn "$m"
done

# No quorum: a change is refused as not committed, reads go on.
l=$(leader)
for m in c1 c2 c3; do [ "$m" = "$l" ] || stop "$m" KILL; done
admin "$l" POST '/v1/withdraw?key=late' >"$TMP/late" &
late=$!
answer=$(ADMIN_S=20 apply "$l" "$rev" lonely "$(doc lonely)")
wait "$late"
case $answer in
*outcome_unknown* | *no_quorum* | *not_leader*) ;;
*) fail "a change without a quorum: $answer" ;;
esac
revision_is "$l" "$rev" || fail "a change without a quorum took effect"
# A withdrawal is told to entries all the same, and committed when it can be.
accepted "$(cat "$TMP/late")" >/dev/null &&
	fail "a withdrawal was committed without a quorum"
for m in c1 c2 c3; do [ "$m" = "$l" ] || member_start "$m"; done
late_withdrawn () {
	admin "$1" GET /v1/keys | grep -q '"late", "state": "withdrawn"'
}
for m in c1 c2 c3; do wait_for 15 late_withdrawn "$m"; done
# What is no key id is refused; one never granted is taken, and said to be so.
while read -r query text; do
	case $(admin "$(leader)" POST "/v1/withdraw?key=$query") in
	*"$text"*) ;;
	*) fail "withdraw '$query' does not say $text" ;;
	esac
done <<'END'
nobodys "note":"never granted"
a%20b "kind": "bad_request"
a"b "kind": "bad_request"
a/../b "kind": "bad_request"
 "kind": "bad_request"
END
echo "revision $rev after races, restarts and a snapshot"
