#!/usr/bin/env bash
# dhctl on files alone: check, diff, schema, exit statuses.
set -u
cd "$(dirname "$0")/.."
dhctl=${BUILD:-build}/bin/dhctl
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
failed=0

# expect STATUS COMMAND...: runs it, keeps its output in $dir/out
expect () {
	want=$1
	shift
	"$@" >"$dir/out" 2>&1
	got=$?
	if [ "$got" -ne "$want" ]; then
		echo "status $got, not $want: $*"
		cat "$dir/out"
		failed=1
	fi
}
same () {
	if ! diff -u "$1" "$2"; then
		echo "differs: $3"
		failed=1
	fi
}

expect 0 "$dhctl" check docs/examples/inventory.json

cat >"$dir/bad.json" <<'EOF'
{
  "domains": [ { "name": "n" } ], // fine
  "entries": [
    { "name": "e", "domain": "m", "peer": "localhost:1" }
  ],
  "classes": [ { "name": "c", "tier": 9 } ],
  "colour": 1
}
EOF
cat >"$dir/want" <<EOF
$dir/bad.json:4: entries[e].domain: no failure domain is named "m"
$dir/bad.json:4: entries[e].peer: must be an IP number and a port, as in "127.0.0.1:8080"
$dir/bad.json:6: classes[c].tier: must be from 1 to 5, not 9
$dir/bad.json:6: classes[c].ttft_ms: missing
$dir/bad.json:7: colour: unknown name
EOF
expect 1 "$dhctl" check "$dir/bad.json"
same "$dir/want" "$dir/out" "every problem of a file in one run"

echo '{"domains":[{"name":"a"},{"name":"b"}]}' >"$dir/one.json"
echo '{"domains":[{"name":"b","drained":true},{"name":"c"}]}' >"$dir/two.json"
cat >"$dir/want" <<'EOF'
domains a
- {"name":"a"}
domains b
- {"name":"b"}
+ {"name":"b","drained":true}
domains c
+ {"name":"c"}
EOF
echo 0123 >"$dir/token"
expect 0 "$dhctl" diff "$dir/one.json" "$dir/two.json"
same "$dir/want" "$dir/out" "diff of two files"

# A configuration for the group: current.json, and new.json that changes it.
config () {
	cat <<EOF
{"version":$1,"services":[{"name":"s"},{"name":"old"}],"routes":[
 {"name":"chat","host":"h.example","path_prefix":"/chat/","kind":"idempotent",
  "timeout_ms":$2,"target_latency_ms":800,"service":"$3"},
 {"name":"rest","host":"h.example","path_prefix":"/","kind":"idempotent",
  "timeout_ms":900,"service":"s"}],
 "tenants":[{"name":"t","api_keys":["secret"]}]}
EOF
}
config 7 2000 s >"$dir/current.json"
config 8 500 s >"$dir/new.json"
config 8 500 none >"$dir/refused.json"
cat >"$dir/want" <<'EOF'
version 8: 2 routes, 2 services, 1 client accounts, 1 keys
warning: route chat (h.example/chat/): timeout 500 ms is below the latency objective 800 ms
warning: service old: no route names it
against version 7: changes
routes: 0 removed, 1 changed, 0 added
  chat (h.example/chat/): timeout (ms) 2000 to 500
EOF
expect 0 "$dhctl" check-config "$dir/new.json" "$dir/current.json"
same "$dir/want" "$dir/out" "findings and differences of a configuration"
head -n 3 "$dir/want" >"$dir/want.alone"
expect 0 "$dhctl" check-config "$dir/new.json"
same "$dir/want.alone" "$dir/out" "findings of a configuration"
cat >"$dir/want" <<'EOF'
{
  "version":8,
  "findings":[
    "route chat (h.example/chat/): timeout 500 ms is below the latency objective 800 ms",
    "service old: no route names it"
  ],
  "changes":[
    "routes: 0 removed, 1 changed, 0 added",
    "  chat (h.example/chat/): timeout (ms) 2000 to 500"
  ]
}
EOF
expect 0 "$dhctl" -j check-config "$dir/new.json" "$dir/current.json"
same "$dir/want" "$dir/out" "findings and differences as JSON"
echo "$dir/refused.json: route chat: unknown service" >"$dir/want"
expect 1 "$dhctl" check-config "$dir/refused.json"
same "$dir/want" "$dir/out" "a configuration that the group would refuse"
expect 1 "$dhctl" check-config "$dir/new.json" "$dir/refused.json"
# The group takes 3 MiB at most.
{ cat "$dir/new.json"; head -c 3145728 /dev/zero | tr '\0' ' '; } >"$dir/long.json"
expect 1 "$dhctl" check-config "$dir/long.json"
grep -q "at most 3145728 are taken" "$dir/out" || {
	echo "a configuration that is too long: $(cat "$dir/out")"
	failed=1
}
expect 1 "$dhctl" check-config "$dir/none.json"
expect 2 "$dhctl" check-config

expect 0 "$dhctl" schema
same docs/CONFIGURATION.md "$dir/out" "docs/CONFIGURATION.md (dhctl schema)"

expect 1 "$dhctl" check "$dir/none.json"
expect 2 "$dhctl"
expect 2 "$dhctl" frobnicate
expect 2 "$dhctl" check
expect 2 "$dhctl" --base x apply "$dir/one.json"
expect 2 "$dhctl" -t "$dir/token" show nothing
expect 1 "$dhctl" show status
expect 1 "$dhctl" -t "$dir/none" show status
expect 1 "$dhctl" -t "$dir/token" show leader
expect 1 "$dhctl" -t "$dir/token" -c localhost:1 -T 0 show leader
expect 1 "$dhctl" -t "$dir/token" -c 127.0.0.1:1 -T 0 show leader
expect 1 "$dhctl" -t "$dir/token" -c 127.0.0.1:1 -e 127.0.0.1:1 withdraw k
exit "$failed"
