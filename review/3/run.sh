#!/usr/bin/env bash
# A machine of the core loses its disk.  The process on it is killed once during
# its first start with the empty disk, and restarted whenever it ends.  Long
# after that, another machine of the core loses its disk.
. "$(dirname "$0")/../lib.sh"

keep_running () { # MEMBER: restart it whenever it ends, as the platform does
	while :; do
		target/bin/groupd -f "$TMP/core-$1.conf" >>"$TMP/core-$1.out" 2>&1 &
		echo $! >"$TMP/core-$1.pid"
		wait $!
		note "core-$1 ended, status $?: $(tail -1 "$TMP/core-$1.out" |
			sed "s|$TMP|(folder)|")"
		sleep 0.5
	done
}

for i in 1 2 3; do member $i true; done
list
platform
wait_for 15 put_config 1 5 || cannot_run "no configuration"
for i in 1 2 3; do
	wait_for 10 has_config $i 5 || cannot_run "core-$i does not follow"
done

note "core-3 loses its disk"
kill -KILL "${PID[core-3]}"
rm -rf "$TMP/disk-core-3"
sleep 3
note "core-3 is back, with an empty disk"
render groupd.json.in core-3 zone-3 "$NET.3" false
if [ "$TROUBLE" = 1 ]; then
	for ((i = 0; i < 200; i++)); do
		rm -rf "$TMP/disk-core-3"
		mkdir "$TMP/disk-core-3"
		$R/kill_at "$TMP/disk-core-3" log identity \
			target/bin/groupd -f "$TMP/core-3.conf" \
			>>"$TMP/core-3.out" 2>&1 && break
	done
	[ "$i" -lt 200 ] || cannot_run "the moment was never met"
	note "core-3 got SIGKILL during its first start"
	sleep 0.5
else
	mkdir "$TMP/disk-core-3"
fi
keep_running 3 &
PID[keeper]=$!
disown $!

# catch_up_s is 4 and contact_ms 3000: core-3 counts as back by far, and as
# running, as it ends by itself.
sleep 14
wait_for 10 put_config 1 6 || cannot_run "a change is not acknowledged"
note "version 6 is acknowledged"
sleep 2
note "core-2 loses its disk"
kill -KILL "${PID[core-2]}"
rm -rf "$TMP/disk-core-2"
sleep 3
note "core-2 is back, with an empty disk"
member 2 false

# The operator reads the desired state at each node, for recovery_s (12 s) and
# 8 s more.
READ=0
END=$(($(date +%s) + 20))
while [ "$(date +%s)" -lt $END ] && [ $READ = 0 ]; do
	for i in 1 2 3; do
		has_config $i 6 && READ=1
	done
	sleep 0.2
done
note "version 6 is read back: $READ"
kill -KILL "${PID[keeper]}"
kill -KILL "$(cat "$TMP/core-3.pid")" 2>/dev/null
[ $READ = 1 ]
