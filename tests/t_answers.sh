# Answers of servers in trouble, for the end-to-end scripts.  Source after
# lib.sh.  fake-raw gives what stands in $TMP/answers; the tables below say
# which of them are broken.
#
#   answer NAME WORDS LINE... BODY   write one, as fake-raw(1) has it
#   ask URL NAME CURL-OPTION...      print "STATUS EXIT" of curl, whose exit
#                                    is 0 where the answer is complete; what
#                                    came is in $TMP/got
#
#   expect TEXT GOT WANT...          note what is none of WANT, "STATUS-EXIT"
#   expect_body TEXT WANT            the same for what came
#   arrivals SERVER NAME             how often that answer was asked for
#   none_wrong                       fail if anything was noted
#
#   CUT        an answer without a length that ends with a reset; the request
#              is longer than the sockets' buffers take
#   SHORT      answers that end before their length or their last chunk
#   STATUSES   statuses below 100 and above 599
#   NAMES      a field whose name holds a blank or a control byte
#   WHOLE      answers that are complete by their length or chunks, whatever
#              becomes of the connection
#   until-close    without a length, and its end comes before the reset
#   refused        a whole answer of status 413

mkdir -p "$TMP/answers"
BODY=$(printf '%03000d' 0)
HEAD=('X-Request-Id: @ID@' 'X-Response-Seal: i-1')

answer () {
	local name=$1 words=$2 line
	shift 2
	{
		echo "$words"
		while [ $# -gt 1 ]; do
			printf '%b\r\n' "$1"
			shift
		done
		printf '\r\n%b' "$1"
	} >"$TMP/answers/$name"
}

ask () {
	local url=$1 name=$2
	shift 2
	curl -s -m 20 -o "$TMP/got" -w '%{http_code} %{exitcode}' \
		-H "X-Request-Id: $RANDOM$RANDOM" -H "X-Answer: $name" \
		-H "Expect:" "$@" "$url"
}

WRONG=0
expect () {
	local text=$1 got=$2
	shift 2
	case " $* " in
	*" ${got// /-} "*) echo "$text: $got" ;;
	*)
		echo "WRONG $text: $got, $(wc -c <"$TMP/got") bytes"
		WRONG=$((WRONG + 1))
		;;
	esac
}

expect_body () {
	[ "$(cat "$TMP/got")" = "$2" ] && return
	echo "WRONG $1: another body, $(wc -c <"$TMP/got") bytes"
	WRONG=$((WRONG + 1))
}

arrivals () {
	grep -cx "$2" "$TMP/$1.out"
}

none_wrong () {
	[ "$WRONG" = 0 ] || fail "$WRONG answers were not as expected"
}

# The list of endpoints, for relays and members, and any other request.
answer instances fin 'HTTP/1.1 200 OK' \
	'{"instances":[{"id":"i-1","service":"s","address":"127.0.0.1:@PORT@",
	"zone":"z1","version":"v1","slots":1000,"state":"ready",
	"cold_remaining_ms":0}],"next":null}'
answer other keep 'HTTP/1.1 200 OK' "${HEAD[@]}" 'Content-Length: 2' ok

LENGTH="Content-Length: ${#BODY}"
CHUNKED='Transfer-Encoding: chunked'
CUT="part-reset part-close"
answer part-reset 'unread reset' 'HTTP/1.1 200 OK' "${HEAD[@]}" "$BODY"
answer part-close 'unread fin' 'HTTP/1.1 200 OK' "${HEAD[@]}" "$BODY"

SHORT="length-fin chunks-fin chunks-late-fin chunks-late-reset"
CHUNK="$(printf '%x' ${#BODY})\r\n$BODY\r\n"
answer length-fin fin 'HTTP/1.1 200 OK' "${HEAD[@]}" 'Content-Length: 4000' \
	"$BODY"
answer chunks-fin fin 'HTTP/1.1 200 OK' "${HEAD[@]}" "$CHUNKED" \
	"${CHUNK%???????}"
answer chunks-late-fin fin 'HTTP/1.1 200 OK' "${HEAD[@]}" "$CHUNKED" "$CHUNK"
answer chunks-late-reset reset 'HTTP/1.1 200 OK' "${HEAD[@]}" "$CHUNKED" \
	"$CHUNK"

STATUSES="status-000 status-099 status-600 status-999"
for name in $STATUSES; do
	answer "$name" keep "HTTP/1.1 ${name#status-} Trouble" "${HEAD[@]}" \
		"$LENGTH" "$BODY"
done

# Some of them would frame the body, if the name were taken for what it nearly
# is.
NAMES="blank tab control delete blank-before-colon chunked-blank length-control"
answer blank keep 'HTTP/1.1 200 OK' "${HEAD[@]}" 'X Bad: 1' "$LENGTH" "$BODY"
answer tab keep 'HTTP/1.1 200 OK' "${HEAD[@]}" 'X\tBad: 1' "$LENGTH" "$BODY"
answer control keep 'HTTP/1.1 200 OK' "${HEAD[@]}" 'X\001Bad: 1' "$LENGTH" \
	"$BODY"
answer delete keep 'HTTP/1.1 200 OK' "${HEAD[@]}" 'X\177Bad: 1' "$LENGTH" \
	"$BODY"
answer blank-before-colon fin 'HTTP/1.1 200 OK' "${HEAD[@]}" \
	'Content-Length : 3' "$BODY"
answer chunked-blank fin 'HTTP/1.1 200 OK' "${HEAD[@]}" \
	'Transfer-Encoding : chunked' "$LENGTH" "$BODY"
answer length-control fin 'HTTP/1.1 200 OK' "${HEAD[@]}" \
	'Content\001-Length: 3' "$LENGTH" "$BODY"

WHOLE="length-keep length-reset length-close chunks-reset chunks-close"
answer length-keep 'unread keep' 'HTTP/1.1 200 OK' "${HEAD[@]}" "$LENGTH" \
	"$BODY"
answer length-reset 'unread reset' 'HTTP/1.1 200 OK' "${HEAD[@]}" "$LENGTH" \
	"$BODY"
answer length-close 'unread fin' 'HTTP/1.1 200 OK' "${HEAD[@]}" "$LENGTH" \
	"$BODY"
CHUNKS="${CHUNK}0\r\n\r\n"
answer chunks-reset 'unread reset' 'HTTP/1.1 200 OK' "${HEAD[@]}" "$CHUNKED" \
	"$CHUNKS"
answer chunks-close 'unread fin' 'HTTP/1.1 200 OK' "${HEAD[@]}" "$CHUNKED" \
	"$CHUNKS"
answer until-close 'unread fin-reset' 'HTTP/1.1 200 OK' "${HEAD[@]}" "$BODY"
answer refused 'unread fin' 'HTTP/1.1 413 Too Large' "${HEAD[@]}" "$LENGTH" \
	"$BODY"
