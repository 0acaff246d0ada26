#!/usr/bin/env bash
# A new desired state adds two tenants.  Each sends requests with its key.
. "$(dirname "$0")/../lib.sh"

NORTH=regional-directorate-of-the-water-towers-and-of-pumping-stations-north
SOUTH=regional-directorate-of-the-water-towers-and-of-pumping-stations-south
[ "$TROUBLE" = 1 ] || NORTH=stations-north SOUTH=stations-south

config_with_tenants () { # VERSION
	config "$1" | sed "s|\"tenants\":\[|&{\"name\":\"$NORTH\",\
\"api_keys\":[\"key-of-the-north-0001\"]},{\"name\":\"$SOUTH\",\
\"api_keys\":[\"key-of-the-south-0001\"]},|" >"$TMP/config-$1"
}
put_tenants () { # VERSION
	$R/api POST "$NET.1:$CONTROL" /api/config/replace "$TMP/config-$1" |
		head -1 | grep -q 200
}

for i in 1 2 3; do member $i true; done
server app-1 1
list "$(entry app-1 1 app zone-1)"
platform
wait_for 15 put_config 1 5 || cannot_run "no configuration"
relay 1
wait_for 15 is_ready 1 || cannot_run "the relay is not ready"

config_with_tenants 6
wait_for 10 put_tenants 6 || cannot_run "the new state is not acknowledged"
note "the state with the tenants $NORTH and $SOUTH is acknowledged"
sleep 3
for i in 1 2 3; do
	$R/client "$NET.11:$FRONT" "$RECORD" key-of-the-north-0001 1500 \
		"north-$i" /once/a "work_ms=10"
	$R/client "$NET.11:$FRONT" "$RECORD" key-of-the-south-0001 1500 \
		"south-$i" /once/a "work_ms=10"
done

WRONG=0
for i in 1 2 3; do
	grep -q "runs north-$i " "$RECORD" && grep -q "runs south-$i " "$RECORD" ||
		cannot_run "a request did not reach the server"
	grep -q "runs north-$i .*tenant=$NORTH\$" "$RECORD" || WRONG=$((WRONG + 1))
	grep -q "runs south-$i .*tenant=$SOUTH\$" "$RECORD" || WRONG=$((WRONG + 1))
done
note "UNASKED: runs with another X-Tenant than that of the key: $WRONG"
[ $WRONG = 0 ]
