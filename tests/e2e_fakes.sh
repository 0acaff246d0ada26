#!/usr/bin/env bash
# The stand-ins keep the contracts that other tests lean on.
. "$(dirname "$0")/lib.sh"

# ask NAME FIELDS: a completion, streamed unless the fields say otherwise
ask () {
	curl -sN -m 10 "$(port_of "$1")/v1/completions" \
		-d "{\"model\":\"m1\",\"stream\":true,\"x_tag\":\"q\",$2}"
}

texts () {
	grep -o '"text":"[^"]*"' | sed 's/"text":"\(.*\)"/\1/' | tr -d '\n'
}

# tokens WANT NAME FIELDS
tokens () {
	local got
	got=$(ask "$2" "$3" | texts)
	[ "$got" = "$1" ] || fail "$3: got '$got', expected '$1'"
}

start_fake g engine -o itl_us=2000 -o base_us=2000
tokens 'q-0 q-1 q-2 ' g '"prompt":"x","x_tokens":3'
tokens 'q-2 q-3 ' g '"prompt":"x","x_tokens":4,"x_resume_from":2'
tokens 'q-0 q-1 ' g '"prompt":"x","x_tokens":2,"stream":false'
tokens 'q-0 q-1 ' g '"prompt":"x","x_tokens":9,"max_tokens":2'
check "the limit is named" grep -q '"finish_reason":"length"' \
	<(ask g '"prompt":"x","x_tokens":9,"max_tokens":2')
check "an unknown model" grep -q 'not served' <(ask g '"model":"m9"')

# A length that nobody named is the same again, here and elsewhere.
start_fake g2 engine -o itl_us=2000 -o base_us=2000
check "seeded lengths agree" test "$(ask g '"prompt":"x"' | texts)" = \
	"$(ask g2 '"prompt":"x"' | texts)"

# A known prefix shortens the prompt's work.
long=$(printf 'p%.0s' {1..4000})
check "nothing cached at first" grep -q '"cached_tokens":0}' \
	<(ask g2 "\"prompt\":\"$long\",\"x_tokens\":1")
check "cached the second time" grep -q '"cached_tokens":9[0-9][0-9]' \
	<(ask g2 "\"prompt\":\"$long\",\"x_tokens\":1")

running () {
	[ "$(seen "$1" running)" -ge "$2" ]
}

idle () {
	[ "$(seen "$1" running)" -eq 0 ]
}

waiting () {
	[ "$(seen "$1" waiting)" -ge "$2" ]
}

# Waiting requests start by priority; the order of arrival is the reverse.  Each
# stream holds the only slot until it is stopped, so that the stand-in's own
# count tells who still waits.
start_fake p engine -o slots=1 -o itl_us=30000 -o base_us=1000
stream () {
	start "$1" curl -sN -o "$TMP/$1.txt" "$(port_of p)/v1/completions" \
		-d "{\"model\":\"m1\",\"stream\":true,\"x_tokens\":1000000,\"priority\":$2}"
}
stream first 0
wait_for 5 running p 1
stream prio5 5
wait_for 5 waiting p 1
stream prio1 1
wait_for 5 waiting p 2
stop first
wait_for 10 test -s "$TMP/prio1.txt"
check "priority 1 was served before 5" test "$(seen p waiting)" = 1
stop prio1
wait_for 10 test -s "$TMP/prio5.txt"
check "priority 5 was served then" test "$(seen p waiting)" = 0
stop prio5

# A caller that leaves while it waits costs nothing: it is seen to be gone when
# its turn comes.  The stream that it waits for takes three seconds, so that it
# still runs when the caller arrives on a busy machine.
start_fake w engine -o slots=1 -o itl_us=30000 -o base_us=1000
start again curl -sN "$(port_of w)/v1/completions" \
	-d '{"model":"m1","stream":true,"x_tokens":100}'
wait_for 5 running w 1
start leaver curl -sN "$(port_of w)/v1/completions" \
	-d '{"model":"m1","x_tokens":5}'
wait_for 5 waiting w 1
stop leaver
cancelled () {
	[ "$(seen w cancelled)" -ge 1 ]
}
wait_for 8 cancelled

# Over the cold bound it collapses, and counts that; in time it is warm.  The
# stream that fills the bound runs until it is stopped.
start_fake c engine -o cold=1 -o cold_bound=1 -o cold_served=4 \
	-o itl_us=1000 -o base_us=1000 -o collapse_us=100000
ask c '"prompt":"x","x_tokens":1' >/dev/null
check "within the bound" test "$(seen c cold_violations)" = 0
start cold1 curl -sN "$(port_of c)/v1/completions" \
	-d '{"model":"m1","stream":true,"x_tokens":1000000}'
wait_for 5 running c 1
ask c '"prompt":"x","x_tokens":1' >/dev/null
check "over the bound" test "$(seen c cold_violations)" = 1
stop cold1
wait_for 5 idle c
for _ in 1 2; do
	ask c '"prompt":"x","x_tokens":1' >/dev/null
done
check "warm after some service" grep -q '"cold":0' \
	<(curl -s "$(port_of c)/_fault")

# A load report is as old as it is told to be.
load () {
	curl -s "$(port_of "$1")/metrics" |
		sed -n 's/^vllm:num_requests_running //p'
}
start_fake l engine -o lag_ms=60000 -o itl_us=100000
start busy curl -sN "$(port_of l)/v1/completions" \
	-d '{"model":"m1","stream":true,"x_tokens":100}'
wait_for 5 running l 1
check "the report lags" test "$(load l)" = 0
fault l '{"lag_ms":0}'
check "the report is fresh" test "$(load l)" = 1

# A crash marker ends the process at once.
fault g '{"crash_marker":"BOOM"}'
ask g '"prompt":"a BOOM b"' >/dev/null
wait_for 5 test ! -e "/proc/${PID[g]}/fd"

# The platform: orders by id, fencing numbers, reports by id.
start_fake f platform -o ignores=old
order () {
	curl -s "$(port_of f)/v1/orders" -d "$1"
}
while IFS='|' read -r path body text; do
	check "$body should give $text" grep -q "$text" \
		<(curl -s "$(port_of f)$path" -d "$body")
done <<'END'
/v1/orders|{"order_id":"1","fence":5,"action":"order","domain":"n"}|"repeat":false
/v1/orders|{"order_id":"1","fence":6,"action":"order","domain":"n"}|"repeat":true
/v1/orders|{"order_id":"2","fence":5,"action":"order","domain":"n"}|stale_fence
/v1/orders|{"order_id":"1","fence":6,"action":"release","domain":"n"}|order_id_reused
/v1/orders|{"order_id":"3","fence":6,"action":"role","endpoint":"old"}|accepted
/v1/orders|{"order_id":"4","fence":1,"action":"role","endpoint":"old"}|accepted
/v1/orders|{"action":"role"}|needed
/v1/usage|{"report_id":"w1","window":1,"rows":[1]}|"repeat":false
/v1/usage|{"report_id":"w1","window":1,"rows":[1]}|"repeat":true
/v1/usage|{"report_id":"w1","window":1,"rows":[2]}|"accepted":false
/v1/weights/m1||"bytes"
/v1/weights/m1||rate_limit
END
check "one order was made" grep -q '"x1"' \
	<(curl -s "$(port_of f)/v1/instances")
fault f '{"lose":1}'
check "the answer is lost" test "$(order '{"order_id":"5","fence":9,"action":"order","domain":"n"}' | wc -c)" = 0
check "and the order was taken" grep -q '"repeat":true' \
	<(order '{"order_id":"5","fence":9,"action":"order","domain":"n"}')
# Manual pages name every knob with its default, and nothing else.
knobs () {
	"$BIN/fake-$1" -o help=1 | cut -c1-27 | awk '{ print $1, $2 }'
}
paged () {
	sed -n '/^.Sh KNOBS/,/^.El/p' "fakes/fake-$1.1" |
		awk '/^.It Li/ { name = $3; next }
			name != "" { d = $0; if (!sub(/.* \(/, "", d)) d = ""
				sub(/\)\.$/, "", d); print name, d; name = "" }'
}
for kind in engine service platform; do
	check "fake-$kind.1: knobs" diff <(knobs $kind) <(paged $kind)
done
echo "fakes: passed"
