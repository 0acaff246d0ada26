# Clients that exceed the limits, for the end-to-end scripts.  Source after
# lib.sh; the script sets MEMORY_MB and MAX_FDS as in the settings.
#
#   crowd NAME ARGS...          start fake-crowd, wait until all its clients
#                               stand, each with its connection open
#   within NAME TEXT            fail unless process NAME runs, within
#                               MEMORY_MB and MAX_FDS
#   measured NAME               print its peak memory and open descriptors

crowd () {
	local name=$1
	shift
	start "$name" "$BIN/fake-crowd" -f "$TMP/$name.stand" "$@"
	wait_for 60 test -s "$TMP/$name.stand"
}

peak_kb () {
	sed -n 's/^VmHWM:[^0-9]*\([0-9]*\) kB/\1/p' "/proc/${PID[$1]}/status"
}

descriptors () {
	ls "/proc/${PID[$1]}/fd" | wc -l
}

measured () {
	echo "$(peak_kb "$1") kB of $((MEMORY_MB * 1024)), $(descriptors "$1")" \
		"descriptors of $MAX_FDS"
}

within () {
	check "$2: $1 ended" alive "$1"
	echo "$2: $1 had $(measured "$1")"
	check "$2: $1 had $(measured "$1")" \
		test "$(peak_kb "$1")" -le $((MEMORY_MB * 1024))
	check "$2: $1 had $(measured "$1")" \
		test "$(descriptors "$1")" -le "$MAX_FDS"
}
