# Shared by the scripts of the third review.  Source it from a case's run.sh:
#
#   core_ip N, edge_ip N  print an address
#   start NAME CMD...     run in the background from the repository's root
#   core_conf N SEED...   write the settings of core machine N; seeds by number
#   edge_conf N SEED...   the same of edge machine N
#   start_core N, start_edge N, stop_one NAME SIGNAL, gone NAME
#   ask ADDR METHOD PATH [BODY-FILE [HEADER]...]   sets STATUS and BODY
#   order METHOD PATH BODY-FILE LIMIT-S N...       as the operator, to cores N
#   record TEXT           append a line with the time to record.txt
#   cannot TEXT           end with 2: the case could not run
#   mark, at MS           note the time; sleep until MS after it
#   since                 print the ms since mark
#   within WHAT MS LIMIT  end with 2 where a dose was larger than its limit
#
# Figures are those of rmeem-echelles.

CASE=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
cd "$(dirname "${BASH_SOURCE[0]}")/.." || exit 2
BIN=target/bin
STANDIN=target/review-3
RECORD=$CASE/record.txt
TROUBLE=${TROUBLE:-1}
TMP=$(mktemp -d)
NET=127.$((64 + $$ / 256 % 128)).$(($$ % 256))
PEER_PORT=7340
API_PORT=8229
PROXIED=${PROXIED:-}
FOUND=true
declare -A PID
: >"$RECORD"

record () {
	echo "$(date +%s%3N) $*" | tee -a "$RECORD"
}

cleanup () {
	local name
	for name in "${!PID[@]}"; do
		disown "${PID[$name]}" 2>/dev/null
		kill -KILL "${PID[$name]}" 2>/dev/null
	done
	cat "$TMP"/log.* >>"$RECORD" 2>/dev/null
	sort -s -n -k1,1 -o "$RECORD" "$RECORD"
	[ -n "${KEEP:-}" ] || rm -rf "$TMP"
}
trap cleanup EXIT
trap 'exit 2' INT TERM

cannot () {
	record "cannot run: $*"
	exit 2
}

mark () { MARK=$(date +%s%3N); }
since () { echo $(($(date +%s%3N) - MARK)); }

at () {
	local left=$(($1 - $(since)))
	[ $left -gt 0 ] && sleep "$((left / 1000)).$(printf %03d $((left % 1000)))"
	return 0
}

within () {
	record "$1 took $2 ms of $3"
	[ "$2" -le "$3" ] || cannot "$1 took too long"
}

core_ip () { echo "$NET.$((10 + $1))"; }
inner_ip () { echo "$NET.$((110 + $1))"; }
edge_ip () { echo "$NET.$((40 + $1))"; }
api () { echo "$(core_ip "$1"):$API_PORT"; }

start () {
	local name=$1
	shift
	"$@" >>"$TMP/$name.out" 2>&1 &
	PID[$name]=$!
}

stop_one () {
	record "signal $2 to $1"
	# Disowned, so that the shell says nothing of a killed process.
	[ "$2" = KILL ] && disown "${PID[$1]}" 2>/dev/null
	kill -"$2" "${PID[$1]}" 2>/dev/null
}

# Waits until a process has ended, at most the grace of 8 s.
gone () {
	local i
	for ((i = 0; i < 160; i++)); do
		kill -0 "${PID[$1]}" 2>/dev/null || break
		sleep 0.05
	done
	disown "${PID[$1]}" 2>/dev/null
	kill -KILL "${PID[$1]}" 2>/dev/null
	unset "PID[$1]"
}

seeds () {
	local n out=
	for n in "$@"; do
		out="$out${out:+, }\"$(api "$n")\""
	done
	echo "[$out]"
}

core_conf () {
	local n=$1 ip inner=
	ip=$(core_ip "$n")
	shift
	# Behind a link that can be cut, a machine listens at an address of its
	# own, and the link at the one that the others know.
	[ -n "$PROXIED" ] && inner="\"peer_listen\": \"$(inner_ip "$n"):$PEER_PORT\","
	mkdir -p "$TMP/data$n"
	cat >"$TMP/core$n.conf" <<EOF
{
	"name": "core-$n", "domain": "zone-$((n % 3))",
	"peer": "$ip:$PEER_PORT", $inner "api": "$ip:$API_PORT",
	"metrics": "$ip:7355", "data_dir": "$TMP/data$n",
	"cluster_key_file": "deploy/cluster.key",
	"seeds": $(seeds "$@"), "found": $FOUND,
	"platform": "$NET.5:8223", "platform_calls_per_s": 47.0,
	"duties": ["usage"], "usage_window_s": 5, "usage_late_s": 10,
	"lease_ms": 3000, "memory_mb": 256, "max_fds": 4096, "ack_ms": 4000
}
EOF
}

edge_conf () {
	local n=$1 ip
	ip=$(edge_ip "$n")
	shift
	cat >"$TMP/edge$n.conf" <<EOF
{
	"name": "edge-$n", "domain": "zone-$((n % 3))",
	"listen": "$ip:8227", "ready": "$ip:8220",
	"peer": "$ip:$PEER_PORT", "metrics": "$ip:7355",
	"cluster_key_file": "deploy/cluster.key", "seeds": $(seeds "$@"),
	"platform": "$NET.5:8223", "platform_calls_per_s": 47.0, "grace_s": 8,
	"retry_ratio": 0.2, "retry_slack": 58, "retry_window_s": 10,
	"memory_mb": 260, "max_fds": 4100, "usage_window_s": 5
}
EOF
}

start_core () {
	record "start core-$1"
	start "core$1" "$BIN/groupd" -f "$TMP/core$1.conf"
}

start_edge () {
	record "start edge-$1"
	start "edge$1" "$BIN/relayd" -f "$TMP/edge$1.conf"
}

# A platform, and two servers of the service "register" and one of "archive".
start_world () {
	local n
	[ -x "$BIN/groupd" ] && [ -x "$BIN/relayd" ] &&
		[ -x "$STANDIN/ask" ] || cannot "not built"
	cat >"$TMP/list" <<EOF
{"instances":[
{"id":"i-1","service":"register","address":"$NET.81:8080","zone":"zone-0","version":"v1","slots":100,"state":"ready","cold_remaining_ms":0},
{"id":"i-2","service":"register","address":"$NET.82:8080","zone":"zone-1","version":"v1","slots":100,"state":"ready","cold_remaining_ms":0},
{"id":"i-3","service":"archive","address":"$NET.83:8080","zone":"zone-2","version":"v1","slots":100,"state":"ready","cold_remaining_ms":0}
],"next":null}
EOF
	start platform "$STANDIN/platform" "$NET.5:8223" "$TMP/list" \
		"$TMP/log.platform"
	for n in 1 2 3; do
		start "server$n" "$STANDIN/server" "$NET.8$n:8080" "i-$n" \
			"$TMP/log.server"
	done
}

ask () {
	local addr=$1 method=$2 path=$3 out
	shift 3
	out=$("$STANDIN/ask" "$addr" "${ASK_MS:-1000}" "$method" "$path" "$@")
	STATUS=${out%% *}
	BODY=${out#* }
}

# Sends an order to one core machine after the other until it is acknowledged.
order () {
	local method=$1 path=$2 body=$3 limit=$4 end n
	shift 4
	end=$(($(date +%s%3N) + limit * 1000))
	while [ "$(date +%s%3N)" -lt "$end" ]; do
		for n in "$@"; do
			ask "$(api "$n")" "$method" "$path" "$body" \
				"Content-Type: application/json"
			record "operator $method $path to core-$n: $STATUS"
			[ "$STATUS" = 200 ] && return 0
		done
		sleep 0.2
	done
	return 1
}

# Waits until edge machine N says that it is ready.
wait_ready () {
	local i
	for ((i = 0; i < 100; i++)); do
		ask "$(edge_ip "$1"):8220" GET /api/ready
		[ "$STATUS" = 200 ] && return 0
		sleep 0.1
	done
	return 1
}

# A client's request: edge machine, id, path, key.
request () {
	ask "$(edge_ip "$1"):8227" GET "$3" - "Host: ladder.example" \
		"X-Request-Id: $2" "X-Deadline-Ms: 1500" \
		"Authorization: Token $4"
	record "client id=$2 key=$4 GET $3 to edge-$1: $STATUS"
}

# A desired state: file, version, service of /tag/, keys of the tenant.
config () {
	cat >"$1" <<EOF
{"version":$2,"routes":[{"name":"tag","host":"ladder.example","path_prefix":"/tag/","kind":"idempotent","timeout_ms":1500,"target_latency_ms":150,"priority":2,"service":"$3","max_attempts":2,"public":false,"sticky":false,"resumable":false}],"services":[{"name":"register","health_path":"/health","max_connections":110,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0},{"name":"archive","health_path":"/health","max_connections":110,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"crew","api_keys":[$4],"priority":1}]}
EOF
}

# The version that a read of the desired state gave, or nothing.
read_version () {
	ask "$(api "$1")" GET /api/config/get
	VERSION=
	[ "$STATUS" = 200 ] &&
		VERSION=$(echo "$BODY" | sed -n 's/^{"version":\([0-9]*\),.*/\1/p')
	record "operator GET /api/config/get at core-$1: $STATUS version=$VERSION"
}
