#!/usr/bin/env bash
# Runs every test program and every end-to-end script (tests/e2e_*.sh).  A
# failure listed in KNOWN-RED.txt (a line "test: NAME") is printed and passed
# over; any other fails the run.  A listed test that passes is named too, so
# that its entry gets removed.
set -u
cd "$(dirname "$0")/.."
build=${BUILD:-build}
logs=$build/test-logs
mkdir -p "$logs"
pass=0
fail=0
red=0
known () {
	grep -qx "test: $1" KNOWN-RED.txt 2>/dev/null
}
# What the test itself said stands apart from its daemons' logs, and the whole
# log is kept where the next run does not overwrite it.
report_failure () {
	kept=$(mktemp "$logs/failed-$1-XXXXXX.log")
	cp "$logs/$1.log" "$kept"
	echo "FAIL $1, whole log in $kept; the test said:"
	grep -a -B 3 -A 5 -E "^FAIL|FAILED|^ +[0-9]+\. .*:[0-9]+" "$kept" | head -n 40
	echo "the end of its log:"
	tail -n 40 "$kept"
}
run_one () {
	name=$1
	shift
	start=$(date +%s%N)
	if timeout 300 "$@" >"$logs/$name.log" 2>&1 </dev/null; then
		pass=$((pass + 1))
		known "$name" && echo "known red, but passed: $name"
	elif known "$name"; then
		red=$((red + 1))
		echo "KNOWN RED $name (see KNOWN-RED.txt)"
	else
		fail=$((fail + 1))
		report_failure "$name"
	fi
	printf '%-28s %6d ms\n' "$name" \
		$((($(date +%s%N) - start) / 1000000))
}
only=${ONLY:-}
for t in "$build"/bin/tests/test_*; do
	name=$(basename "$t")
	[ -e "tests/$name.c" ] || continue
	[ -n "$only" ] && [ "$only" != "$name" ] && continue
	run_one "$name" "$t"
done
for t in tests/e2e_*.sh; do
	[ -e "$t" ] || continue
	name=$(basename "$t" .sh)
	[ -n "$only" ] && [ "$only" != "$name" ] && continue
	run_one "$name" bash "$t"
done
[ "$red" -gt 0 ] && echo "$red known red"
echo "$pass passed, $fail failed"
[ "$fail" -eq 0 ] && [ "$pass" -gt 0 ]
