# Control members for the end-to-end scripts.  Source after lib.sh.
#
#   member_set NAME [PEER] [ADMIN]   write $TMP/NAME.json; by default ports 0 at
#                                    addresses of its own: NET.N and NET.100+N
#   member_init NAME [ARGS...]       make a one-member group's folder
#   member_join NAME                 make a folder that waits to be added
#   member_start NAME                start it, wait for its ports, and keep
#                                    them for its next start
#   admin NAME METHOD PATH [BODY]    one request; prints the answer's body
#   field NAME JSON-FIELD            a field that stands once in /v1/status
#   leader                           the name of a member that leads now
#   PLATFORM                         the platform's IP:port, where set
#   group N                          a group of N members c1 ... cN, all voting

DOMAINS=(north south west north south)
TOKEN=operators-token
head -c 32 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$TMP/cluster.key"
echo "$TOKEN" >"$TMP/admin.token"

member_set () {
	cat >"$TMP/$1.json" <<-END
	{
	  "name": "$1", "domain": "${DOMAINS[${1#c} - 1]:-north}",
	  "peer": "${2:-$NET.${1#c}:0}",
	  "admin": "${3:-$NET.$((100 + ${1#c})):0}",
	  "data_dir": "$TMP/$1.data", "ports_file": "$TMP/$1.ports",
	  "cluster_key_file": "$TMP/cluster.key",
	  "admin_token_file": "$TMP/admin.token",
	  "platform": "${PLATFORM:-}"
	}
	END
	mkdir -p "$TMP/$1.data"
}

member_init () {
	local name=$1
	shift
	"$BIN/controld" -f "$TMP/$name.json" --init "$@" >"$TMP/$name.id"
}

member_join () {
	"$BIN/controld" -f "$TMP/$1.json" --join >"$TMP/$1.id"
}

port_line () {
	sed -n "s/^$2=//p" "$TMP/$1.ports"
}

member_start () {
	rm -f "$TMP/$1.ports"
	start "$1" "$BIN/controld" -f "$TMP/$1.json"
	wait_for 10 test -s "$TMP/$1.ports"
	member_set "$1" "$(port_line "$1" peer)" "$(port_line "$1" admin)"
}

admin () {
	curl -s -m "${ADMIN_S:-8}" -X "$2" -H "Authorization: Bearer $TOKEN" \
		"http://$(port_line "$1" admin)$3" ${4:+--data-binary "$4"}
}

# A number or string that stands once in a JSON answer.
json_field () {
	sed -n "s/.*\"$1\": *\"\{0,1\}\([^,\"}]*\).*/\1/p"
}

field () {
	admin "$1" GET /v1/status | json_field "$2"
}

role_is () {
	[ "$(ADMIN_S=1 field "$1" role)" = "$2" ]
}

leader () {
	local name
	for name in "${!PID[@]}"; do
		case $name in
		c[0-9]*) role_is "$name" leader && echo "$name" && return ;;
		esac
	done
	return 1
}

has_leader () {
	[ -n "$(leader)" ]
}

# add_member NAME: a learner, caught up, then a voter
add_member () {
	local l id
	member_set "$1"
	member_join "$1"
	member_start "$1"
	id=$(cat "$TMP/$1.id")
	l=$(leader)
	accepted "$(admin "$l" POST "/v1/members/add?id=$id&name=$1&addr=$(
		port_line "$1" peer)&domain=${DOMAINS[${1#c} - 1]:-north}")" ||
		fail "add $1"
	accepted "$(admin "$l" POST "/v1/members/promote?id=$id")" ||
		fail "promote $1"
}

members () {
	local name
	for name in "${!PID[@]}"; do
		case $name in
		c[0-9]*) echo "$name" ;;
		esac
	done
}

accepted () {
	case $1 in
	*'"revision"'*'"error"'* | *'"error"'*) echo "$1" && return 1 ;;
	*'"revision"'*) return 0 ;;
	*) echo "no answer: $1" && return 1 ;;
	esac
}

group () {
	local i
	member_set c1
	member_init c1
	member_start c1
	wait_for 5 has_leader
	for ((i = 2; i <= $1; i++)); do
		add_member "c$i"
	done
}

# move_to_relay NAME: the others reach it through the relay from now on
move_to_relay () {
	local m
	for m in $(members); do made_links "$m" "$1" >"$TMP/$m.made"; done
	accepted "$(admin "$1" POST "/v1/members/move?id=$(cat "$TMP/$1.id")&addr=$(
		port_of relay)")" || fail "move"
	wait_for 10 links_moved "$1"
}

made_links () {
	grep -c "peer=$2 role=control state=up made=here" "$TMP/$1.log"
}

links_moved () {
	local m
	for m in $(members); do
		[ "$m" = "$1" ] ||
			[ "$(made_links "$m" "$1")" -gt "$(cat "$TMP/$m.made")" ] ||
			return 1
	done
}

# doc N: an inventory that differs with N
doc () {
	echo "{\"domains\":[{\"name\":\"north\"},{\"name\":\"south\"},
		{\"name\":\"n$1\"}]}"
}

# apply NAME BASE CHANGE DOC: answer of one apply
apply () {
	admin "$1" POST "/v1/apply?base=$2&change=$3" "$4"
}

revision_is () {
	[ "$(field "$1" revision)" = "$2" ]
}
