# Shared by the end-to-end scripts and the bench: start processes, wait for
# conditions, stop by pid at the end.  Source it, then:
#
#   start NAME COMMAND...     run in the background; its log is $TMP/NAME.log
#   wait_for SECONDS CMD...   repeat CMD until it succeeds; fail at the limit
#   port_of NAME              print IP:port from the file $TMP/NAME.port
#   start_fake NAME KIND ...  start fake-KIND and wait until it listens
#   fault NAME JSON           POST /_fault to a stand-in
#   seen NAME FIELD           one counter of a stand-in's /_seen
#   stop NAME [SIGNAL]        end one process and wait for it
#   fail TEXT                 print TEXT and the logs' ends, exit 1
#   check TEXT CMD...         fail with TEXT unless CMD succeeds
#   NET                       the run's loopback addresses: NET.1 ... NET.254

cd "$(dirname "${BASH_SOURCE[0]}")/.." || exit 1
BIN=${BUILD:-build}/bin
TMP=$(mktemp -d)
declare -A PID
# Daemons connect from their own addresses, so another run with the same
# addresses could hold a stopped daemon's port with an outgoing connection.  No
# two live processes share a block, as long as pid_max is at most 32768, Linux's
# default; the soak uses the same formula.
NET=127.$((64 + $$ / 256 % 128)).$(($$ % 256))

start () {
	local name=$1
	shift
	"$@" >"$TMP/$name.out" 2>"$TMP/$name.log" &
	PID[$name]=$!
}

alive () {
	kill -0 "${PID[$1]}" 2>/dev/null
}

wait_for () {
	local limit=$(($(date +%s%N) + $1 * 1000000000))
	shift
	until "$@" >/dev/null 2>&1; do
		if [ "$(date +%s%N)" -gt "$limit" ]; then
			fail "waited too long for: $*"
		fi
		sleep 0.02
	done
}

port_of () {
	cat "$TMP/$1.port"
}

start_fake () {
	local name=$1 kind=$2
	shift 2
	start "$name" "$BIN/fake-$kind" -p "$TMP/$name.port" "$@"
	wait_for 10 test -e "$TMP/$name.port"
}

fault () {
	curl -sf -m 5 "$(port_of "$1")/_fault" -d "$2" >/dev/null
}

seen () {
	curl -sf -m 5 "$(port_of "$1")/_seen" |
		sed -n "s/.*\"$2\":\([0-9]*\).*/\1/p"
}

# A process that outlives its signal by ten seconds is killed.
stop () {
	local pid=${PID[$1]:-} i
	[ -n "$pid" ] || return 0
	unset "PID[$1]"
	[ "${2:-TERM}" = KILL ] && disown "$pid" 2>/dev/null
	kill -"${2:-TERM}" "$pid" 2>/dev/null
	for ((i = 0; i < 500; i++)); do
		kill -0 "$pid" 2>/dev/null || break
		sleep 0.02
	done
	# Disowned, so that the shell says nothing of a killed process.
	disown "$pid" 2>/dev/null
	kill -KILL "$pid" 2>/dev/null
	wait "$pid" 2>/dev/null
}

fail () {
	local log
	echo "FAIL: $*"
	for log in "$TMP"/*.log; do
		[ -s "$log" ] || continue
		echo "--- ${log##*/}"
		tail -n 15 "$log"
	done
	exit 1
}

check () {
	local text=$1
	shift
	"$@" || fail "$text"
}

finish () {
	local status=$? name
	trap - EXIT
	for name in "${!PID[@]}"; do
		kill -TERM "${PID[$name]}" 2>/dev/null
	done
	for name in "${!PID[@]}"; do
		stop "$name"
	done
	rm -rf "$TMP"
	exit "$status"
}
trap finish EXIT
trap 'exit 130' INT TERM
