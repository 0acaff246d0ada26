# An entry, a service and an engine whose answers t_answers.sh has, for the
# end-to-end scripts.  Source after lib.sh, bench/system.sh and t_answers.sh; it
# brings the system up.
#
#   asked PATH NAME FILE     "STATUS EXIT" once the endpoint is in use
#   $TMP/upload              a body longer than the sockets' buffers take
#   $TMP/small               a short one

UPLOAD_BYTES=$((4 << 20))

cat >"$TMP/answers.inventory.json" <<'END'
{
  "settings": { "suspect_strikes": 100 },
  "domains": [
    { "name": "north", "region": "city" }
  ],
  "entries": [
    { "name": "e1", "domain": "north", "peer": "${e1.peer}" }
  ],
  "classes": [
    { "name": "standard", "tier": 1, "ttft_ms": 5000, "itl_ms": 1000, "deadline_ms": 20000, "share_permille": 50 }
  ],
  "accounts": [
    { "name": "clerks", "class": "standard" }
  ],
  "keys": [],
  "endpoints": [
    { "name": "n1", "domain": "north", "addr": "${n1}", "models": ["small"], "cold_bound": 16, "warm_bound": 16 },
    { "name": "d1", "domain": "north", "addr": "${d1}", "kind": "service", "group": "desk", "cold_bound": 16, "warm_bound": 16 }
  ],
  "routes": [
    { "name": "completions", "prefix": "/v1/completions", "kind": "completions" },
    { "name": "any", "prefix": "/any", "kind": "service", "group": "desk", "class": "standard" },
    { "name": "once", "prefix": "/once", "kind": "service", "group": "desk", "class": "standard", "repeatable": false }
  ],
  "rules": []
}
END
standins_up () {
	local name
	for name in n1 d1; do
		start $name "$BIN/fake-raw" -p "$TMP/$name.port" \
			-d "$TMP/answers"
		wait_for 10 test -s "$TMP/$name.port"
		SUBST+=(-e "s/\${$name}/$(port_of $name)/")
	done
}
asked () {
	wait_for 20 served "$1"
	ask "http://$(ports e1 listen)$1" "$2" -H "x-api-key: $KEY" \
		--data-binary "@$3"
}
served () {
	[ "$(ask "http://$(ports e1 listen)$1" other -H "x-api-key: $KEY" \
		-d '{"model":"small","prompt":"hi"}')" = "200 0" ]
}

head -c $UPLOAD_BYTES /dev/zero >"$TMP/upload"
echo small >"$TMP/small"
ENTRY_QUIET=
system_up "$TMP/answers.inventory.json"
KEY=$(printf '%s\n' "${DEFS[@]}" | sed -n 's/^key.clerks=//p')
