#!/usr/bin/env bash
# Answers to HEAD have no body at any listener of an entry and a control member:
# the next answer on the connection begins where the head ends.  An entry waited
# for the body of a service's answer to HEAD until its time limit.
. "$(dirname "$0")/lib.sh"
. bench/system.sh
. tests/t_answers.sh
. tests/t_answers_entry.sh

answer head keep 'HTTP/1.1 200 OK' 'Content-Length: 1234' ''
answer chunks-head keep 'HTTP/1.1 200 OK' 'Transfer-Encoding: chunked' ''
answer small keep 'HTTP/1.1 200 OK' 'Content-Length: 3' 'abc'

# Sends HEAD and then GET on one connection; prints the statuses of what came
# and "body" where anything else stands between the two heads.
statuses () { # ADDR PATH HEADER...
	local addr=$1 path=$2 lines
	shift 2
	lines=$(printf '%s\r\n' "Host: h" "$@" end)
	lines=${lines%end*}
	exec 3<>"/dev/tcp/${addr%:*}/${addr##*:}" || return
	printf '%s %s HTTP/1.1\r\n%s\r\n' HEAD "$path" "$lines" >&3
	sleep 0.5
	printf '%s %s HTTP/1.1\r\nConnection: close\r\n%s\r\n' GET "$path" \
		"$lines" >&3
	timeout 5 cat <&3 | tr -d '\r' | awk '
		between && !/^HTTP\/1\.1 / { print "body" }
		/^HTTP\/1\.1 / { print $2; heads++; between = 0 }
		/^$/ && heads == 1 { between = 1 }' | tr '\n' ' '
	exec 3>&-
}
check_heads () { # NAME STATUS ADDR PATH HEADER...
	local name=$1 want="$2 $2 " got
	shift 2
	got=$(statuses "$@")
	[ "$got" = "$want" ] || fail "$name: got $got, want $want"
}

entry=$(ports e1 listen)
wait_for 20 served /any
check_heads "a service's answer" 200 "$entry" /any "x-api-key: $KEY" \
	"X-Answer: small" "X-Request-Id: 7"
for name in head chunks-head; do
	curl -sI -m 3 -H "x-api-key: $KEY" -H "X-Answer: $name" \
		-H "X-Request-Id: 8" "http://$entry/any" >"$TMP/got" ||
		fail "no whole answer to HEAD, $name"
	check "no 200, $name" grep -q "^HTTP/1.1 200" "$TMP/got"
	cp "$TMP/got" "$TMP/got.$name"
done
check "another length" grep -qi "^content-length: 1234" "$TMP/got.head"
check_heads "no route" 404 "$entry" /nowhere "x-api-key: $KEY"
check_heads "no key" 401 "$entry" /any
check_heads "the entry's metrics" 200 "$entry" /metrics
check_heads "the control member's operators" 403 "$(ports c1 admin)" /nowhere
echo "e2e_head: passed"
