#!/usr/bin/env bash
# A short seeded run of the soak, and the seeds that ever failed; by hand:
# for s in $(seq 1 50); do build/bin/soak -s $s -t 20000; done
. "$(dirname "$0")/lib.sh"
status=0
# SEED:MS of faults.  221: a second disk was lost 7 s after the first, while
# cuts had kept the first member from voting again; the soak's fault, since a
# group of three bears one loss (soak's may_wipe()).  244: the same, 4.5 s
# after.  3: links to seeds were dropped by a clock read twice.  325: a line on
# a lost link was among those that the log had left out, and said so.
seeds="3:5000 17:5000 29:5000 221:20000 244:10000 325:20000"
for seed in $seeds; do
	"$BIN/soak" -b "$BIN" -s "${seed%:*}" -t "${seed#*:}" \
		>"$TMP/soak.$seed" 2>&1 &
	PID[soak$seed]=$!
done
for seed in $seeds; do
	wait "${PID[soak$seed]}" || status=1
	cat "$TMP/soak.$seed"
done
exit $status
