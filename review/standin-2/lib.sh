# Sourced by the cases' run.sh with CASE set.  Starts members and relays with
# the commands of the deploy file, plays the case and ends all processes.
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
CASE_DIR=$(cd "$CASE_DIR" && pwd) || exit 2
WORLD=target/review-2/world
TMP=$(mktemp -d) || exit 2
NET=127.$((64 + $$ / 256 % 128)).$(($$ % 256))
RELAYS=${RELAYS:-3}
MEMBERS=${MEMBERS:-3}
FOUND=true
PIDS=()
SEEDS="[\"$NET.61:8229\",\"$NET.62:8229\",\"$NET.63:8229\"]"

for file in target/bin/relayd target/bin/groupd "$WORLD"; do
	[ -x "$file" ] || { echo "$file is missing"; exit 2; }
done

end_all () {
	local pid
	trap - EXIT
	[ -n "${WORLD_PID:-}" ] && PIDS+=("$WORLD_PID")
	for pid in "${PIDS[@]}"; do
		kill -CONT "$pid" 2>/dev/null
		kill -KILL "$pid" 2>/dev/null
	done
	for pid in "${PIDS[@]}"; do
		wait "$pid" 2>/dev/null
	done
	[ -n "${KEEP_LOGS:-}" ] && cp "$TMP"/*.log "$KEEP_LOGS"
	rm -rf "$TMP"
}
trap end_all EXIT
trap 'exit 2' INT TERM

start_member () {
	mkdir -p "$TMP/core-$1"
	cat >"$TMP/core-$1.json" <<-END
	{"name":"core-$1","domain":"z$((1 + $1 % 2))",
	"peer":"$NET.$((60 + $1)):7340","api":"$NET.$((60 + $1)):8229",
	"metrics":"$NET.$((60 + $1)):7341","data_dir":"$TMP/core-$1",
	"cluster_key_file":"deploy/cluster.key","seeds":$SEEDS,
	"found":$FOUND,"platform":"$NET.1:8223","platform_calls_per_s":44,
	"duties":["usage"],"usage_window_s":5,"usage_late_s":10,
	"lease_ms":3000,"memory_mb":256,"max_fds":4096,"ack_ms":4000}
	END
	target/bin/groupd -f "$TMP/core-$1.json" >>"$TMP/core-$1.log" 2>&1 &
	PIDS+=($!)
}

start_relay () {
	cat >"$TMP/edge-$1.json" <<-END
	{"name":"edge-$1","domain":"z$((1 + $1 % 2))",
	"listen":"$NET.$((40 + $1)):8227","ready":"$NET.$((40 + $1)):8220",
	"peer":"$NET.$((40 + $1)):7340","metrics":"$NET.$((40 + $1)):7341",
	"cluster_key_file":"deploy/cluster.key","seeds":$SEEDS,
	"platform":"$NET.1:8223","platform_calls_per_s":44,"grace_s":8,
	"retry_ratio":0.2,"retry_slack":56,"retry_window_s":10,
	"memory_mb":260,"max_fds":4100,"usage_window_s":5}
	END
	target/bin/relayd -f "$TMP/edge-$1.json" >>"$TMP/edge-$1.log" 2>&1 &
	PIDS+=($!)
}

start_daemons () {
	local i
	for ((i = 1; i <= MEMBERS; i++)); do start_member "$i"; done
	for ((i = 1; i <= RELAYS; i++)); do start_relay "$i"; done
}

kill_daemons () {
	kill -KILL "${PIDS[@]}"
	wait "${PIDS[@]}" 2>/dev/null
	PIDS=()
	FOUND=false
}

# The record of an earlier run would tell of its start.
rm -f "$CASE_DIR/record.txt"
start_daemons
"$WORLD" "$CASE" "$NET" "$CASE_DIR/record.txt" "$TROUBLE" &
WORLD_PID=$!
# The final fault: all daemons are killed after a confirmation, and are back
# within a second.
if [ "$CASE" = forget ] && [ "$TROUBLE" != 0 ]; then
	until grep -qs " final fault" "$CASE_DIR/record.txt" ||
		! kill -0 "$WORLD_PID" 2>/dev/null; do sleep 0.02; done
	kill_daemons
	sleep 0.7
	start_daemons
fi
wait "$WORLD_PID"
exit $?
