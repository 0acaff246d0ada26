#!/usr/bin/env bash
# Relays whose known members are all gone find the group by the seeds in their
# settings: on SIGHUP at once, and without a signal within seconds.  They went on
# for good under the configuration that they had.  Settings that can't be used
# change nothing.
. "$(dirname "$0")/lib.sh"

read -r PEER API READY METRICS _ <<<"$("$BIN/soak" -p)"
printf '%064d\n' 7 >"$TMP/key"
seeds () { # HOST...
	local s list=
	for s in "$@"; do list="$list${list:+, }\"$NET.$s:$API\""; done
	echo "[$list]"
}
member () { # N
	cat >"$TMP/m$1.json" <<JSON
{"name": "m$1", "domain": "z$1", "peer": "$NET.$1:$PEER",
 "api": "$NET.$1:$API", "data_dir": "$TMP/d$1", "found": true,
 "cluster_key_file": "$TMP/key", "platform": "127.0.0.1:1",
 "seeds": $(seeds 1 2 3)}
JSON
	start "m$1" "$BIN/groupd" -f "$TMP/m$1.json"
}
relay_settings () { # N SEED...
	cat >"$TMP/r$1.json" <<JSON
{"name": "r$1", "domain": "z1", "listen": "$NET.1$1:$API",
 "ready": "$NET.1$1:$READY", "peer": "$NET.1$1:$PEER",
 "metrics": "$NET.1$1:$METRICS", "cluster_key_file": "$TMP/key",
 "platform": "127.0.0.1:1", "seeds": $(seeds "${@:2}")}
JSON
}
put_config () { # VERSION
	echo "{\"version\":$1,\"services\":[{\"name\":\"s\"}],\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"path_prefix\":\"/\",\"kind\":\"idempotent\",\"timeout_ms\":1000,\"service\":\"s\"}]}" |
		curl -sfL -m 3 -o "$TMP/answer" -X POST --data-binary @- \
			"http://$NET.1:$API/api/config/replace"
}
metric () { # RELAY NAME VALUE
	curl -sf -m 2 "http://$NET.1$1:$METRICS/" | grep -qx "dh_relay_$2 $3"
}

for i in 1 2 3; do member $i; done
wait_for 15 put_config 5
for i in 1 2; do
	relay_settings $i 8 9
	start "r$i" "$BIN/relayd" -f "$TMP/r$i.json"
done
for i in 1 2; do
	wait_for 10 grep -q " out-of-touch for_ms=" "$TMP/r$i.out"
	wait_for 2 metric $i out_of_touch_total 1
done
echo "{" >"$TMP/r1.json"
kill -HUP "${PID[r1]}"
wait_for 5 grep -q "reload verdict=kept_old" "$TMP/r1.out"
relay_settings 1 2 3
kill -HUP "${PID[r1]}"
wait_for 3 metric 1 version 5
wait_for 3 metric 1 out_of_touch_ms 0
relay_settings 2 2 3
wait_for 20 metric 2 version 5
wait_for 3 grep -q " in-touch after_ms=" "$TMP/r2.out"
echo "e2e_relay_seeds: passed"
