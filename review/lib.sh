# Shared by the scripts of the cases: a small deployment on loopback addresses.
# Source it from review/N/run.sh.  The commands are those of the deploy file,
# the settings are rendered from its templates, and the values are those of a
# small site.

HERE=$(cd "$(dirname "$0")" && pwd)
cd "$HERE/../.." || exit 2
R=review/bin
TMP=$(mktemp -d)
RECORD=$HERE/record.txt
: >"$RECORD"
TROUBLE=${TROUBLE:-1}
declare -A PID

# An address block of our own, and ports that nothing on it uses.
NET=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))
while :; do
	PORT=$((RANDOM % 9000 + 20000))
	for ((i = 0; i < 8; i++)); do
		(: <"/dev/tcp/127.0.0.1/$((PORT + i))") 2>/dev/null && continue 2
		(: <"/dev/tcp/$NET.1/$((PORT + i))") 2>/dev/null && continue 2
	done
	break
done
FRONT=$PORT READY=$((PORT + 1)) CONTROL=$((PORT + 2)) PEER=$((PORT + 3))
METRICS=$((PORT + 4)) SERVER=$((PORT + 5)) CLOUD=$NET.200:$((PORT + 6))
SEEDS='["'$NET.1:$CONTROL'", "'$NET.2:$CONTROL'", "'$NET.3:$CONTROL'"]'

note () {
	echo "$(date +%s%3N) $*" >>"$RECORD"
}

start () { # NAME COMMAND...
	local name=$1
	shift
	"$@" >>"$TMP/$name.out" 2>&1 &
	PID[$name]=$!
	disown $!
}

finish () {
	local name
	for name in "${!PID[@]}"; do
		kill -CONT "${PID[$name]}" 2>/dev/null
		kill -KILL "${PID[$name]}" 2>/dev/null
	done
	for name in "$TMP"/*.pid; do
		[ -e "$name" ] && kill -KILL "$(cat "$name")" 2>/dev/null
	done
	if [ -n "${KEEP:-}" ]; then
		echo "logs: $TMP"
	else
		rm -rf "$TMP"
	fi
}
trap finish EXIT

cannot_run () {
	note "the case could not run: $*"
	exit 2
}

alive () { # NAME
	kill -0 "${PID[$1]}" 2>/dev/null
}

wait_for () { # SECONDS COMMAND...
	local end=$(($(date +%s%N) + $1 * 1000000000))
	shift
	until "$@" >/dev/null 2>&1; do
		[ "$(date +%s%N)" -gt "$end" ] && return 1
		sleep 0.02
	done
}

render () { # TEMPLATE NODE ZONE IP FOUND
	sed -e "s|{{node}}|$2|; s|{{zone}}|$3|; s|{{ip}}|$4|g" \
		-e "s|{{listen.front}}|$4:$FRONT|; s|{{listen.ready}}|$4:$READY|" \
		-e "s|{{listen.control}}|$4:$CONTROL|" \
		-e "s|{{port_range.0}}|$PEER|; s|{{port_range.1}}|$METRICS|" \
		-e "s|{{data_dir}}|$TMP/disk-$2|; s|{{seeds.json}}|$SEEDS|" \
		-e "s|{{bootstrap}}|$5|; s|{{cloud.address}}|$CLOUD|" \
		-e "s|{{cloud.rate_per_s}}|47.0|" \
		-e 's|{{cloud.duties.json}}|["usage_report","autoscale"]|' \
		-e "s|{{bounds.usage_window_s}}|5|; s|{{bounds.usage_late_s}}|10|" \
		-e "s|{{bounds.lease_ms}}|3000|; s|{{bounds.ack_ms}}|4000|" \
		-e "s|{{bounds.grace_s}}|8|; s|{{bounds.budget_window_s}}|10|" \
		-e "s|{{bounds.retry_budget_ratio}}|0.2|" \
		-e "s|{{bounds.retry_slack}}|58|" "deploy/$1" |
		sed -e "s/{{seeds|json}}/$(sed 's/[&/]/\\&/g' <<<"$SEEDS")/" \
			-e 's/{{cloud.duties|json}}/["usage_report","autoscale"]/' \
			>"$TMP/$2.conf"
}

member () { # NUMBER FOUND
	render groupd.json.in "core-$1" "zone-$1" "$NET.$1" "$2"
	mkdir -p "$TMP/disk-core-$1"
	start "core-$1" target/bin/groupd -f "$TMP/core-$1.conf"
}

relay () { # NUMBER
	render relayd.json.in "edge-$1" "zone-$1" "$NET.1$1" false
	start "edge-$1" target/bin/relayd -f "$TMP/edge-$1.conf"
}

server () { # NAME NUMBER
	start "$1" $R/standin server "$NET.10$2:$SERVER" "$1" "$RECORD"
}

entry () { # NAME NUMBER SERVICE ZONE [STATE]
	echo -n '{"service":"'"$3"'","address":"'"$NET.10$2:$SERVER"'",' \
		'"zone":"'"$4"'","version":"v1","slots":64,' \
		'"state":"'"${5:-ready}"'","cold_remaining_ms":0,"id":"'"$1"'"}'
}

list () { # ENTRY...
	local text=$1
	shift
	while [ $# -gt 0 ]; do
		text=$text,$1
		shift
	done
	echo '{"instances":['"$text"'],"next":null}' >"$TMP/list.new"
	mv "$TMP/list.new" "$TMP/list"
}

platform () {
	start platform $R/standin platform "$CLOUD" "$TMP/list" "$RECORD"
}

# A desired state with one route for each kind, all at the service "app".
config () { # VERSION
	cat <<JSON
{"version":$1,"services":[{"name":"app","health_path":"/health",
 "max_connections":110,"protocol":"h1","tls":false,"cold_start_s":0.0,
 "cold_per_s":0.0}],
 "routes":[
 {"name":"stream","host":"review.example","path_prefix":"/stream/",
  "kind":"streaming","timeout_ms":12000,"target_latency_ms":2000,"priority":1,
  "service":"app","max_attempts":2,"public":false,"sticky":false,
  "resumable":false,"target_gap_ms":500},
 {"name":"once","host":"review.example","path_prefix":"/once/",
  "kind":"non_idempotent","timeout_ms":1500,"target_latency_ms":150,
  "priority":2,"service":"app","max_attempts":1,"public":false},
 {"name":"read","host":"review.example","path_prefix":"/read/",
  "kind":"idempotent","timeout_ms":1500,"target_latency_ms":150,
  "priority":2,"service":"app","max_attempts":2,"public":false}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
  "header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"crew","api_keys":["key-of-the-crew-0001"],"priority":1}]}
JSON
}
KEY=key-of-the-crew-0001

put_config () { # MEMBER VERSION
	config "$2" >"$TMP/config-$2"
	$R/api POST "$NET.$1:$CONTROL" /api/config/replace "$TMP/config-$2" |
		head -1 | grep -q 200
}

has_config () { # MEMBER VERSION
	$R/api GET "$NET.$1:$CONTROL" /api/config/get |
		grep -q "\"version\":$2,"
}

is_ready () { # RELAY
	$R/api GET "$NET.1$1:$READY" /api/ready | head -1 | grep -q 200
}
