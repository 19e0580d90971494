#!/bin/sh
# Benchmarks of relays that fall silent: each relay in turn is frozen under a
# storm of changes, and the time is measured until its daemons have a version
# in force that was accepted after the freeze.  Then all relays are paused for
# less than 300 ms again and again, which must not make a daemon leave.
#
# usage: bench/bench-silence.sh BUILD [DAEMONS...]

case_name=silence
. "$(dirname "$0")/lib.sh"
shift

FROZEN_S=4
SETTLED_S=4
PAUSES=40

begin() {
	local name
	mesh_prepare bucle-andino
	grow_mesh "$1"
	start_control_plane 30
	for name in $(names daemons)
	do
		start_daemon "$name"
	done
	poll "the configuration accepted" \
		submitted configuration.toml submit --id first
	poll "the first version everywhere" \
		in_force "$(last_version)" $(names daemons)
}

# storm: submit changes until $work/enough exists
storm() {
	local n=0
	while ! test -e "$work/enough"
	do
		n=$((n + 1))
		submit_change $n
		sleep 0.1
	done
}

utc_now() {
	date -u +%Y-%m-%dT%H:%M:%S.%6NZ
}

# lost_sessions: print how many sessions to relays the daemons have lost
lost_sessions() {
	local name
	for name in $(names daemons)
	do
		cat "$mesh/log/$name.log"
	done | awk '$3 == 5003 { n++ } END { print n + 0 }'
}

freeze_in_turn() {
	local name
	for name in $(names relays)
	do
		echo "$name $(utc_now)" >>"$work/freezes"
		send STOP "$name"
		sleep $FROZEN_S
		send CONT "$name"
		sleep $SETTLED_S
	done
}

# The longest pause is printed, too, as a busy machine makes them longer.
pause_all() {
	local n=0 before pids began us longest=0
	before=$(lost_sessions)
	pids=$(for name in $(names relays); do pid "$name"; done)
	while test $n -lt $PAUSES
	do
		n=$((n + 1))
		began=$(now_us)
		kill -STOP $pids
		sleep 0.28
		kill -CONT $pids
		us=$(($(now_us) - began))
		test $us -gt $longest && longest=$us
		sleep 0.$((n * 7 % 9 + 1))
	done
	sleep 3
	bench "silence_${1}_longest_pause_ms" $((longest / 1000)) ms
	bench "silence_${1}_false_moves" $(($(lost_sessions) - before)) count
}

part() {
	local logs
	work_in "$1"
	begin "$1"
	storm &
	stormer=$!
	sleep 2
	freeze_in_turn
	touch "$work/enough"
	wait "$stormer"
	poll "the last version everywhere" \
		in_force "$(last_version)" $(names daemons)
	logs=$(for name in $(names daemons); do echo "$mesh/log/$name.log"; done)
	set -- "$1" $(awk -f "$top/bench/silence.awk" "$work/freezes" \
		"$mesh"/log/s*.log $logs)
	test $# = 5 || fail "versions are missing"
	bench "silence_${1}_daemons" "$2" count
	bench "silence_${1}_p50_ms" "$3" ms
	bench "silence_${1}_p99_ms" "$4" ms
	bench "silence_${1}_max_ms" "$5" ms
	pause_all "$1"
	stop_mesh
}

if test $# -eq 0
then
	set -- 20 60 200
fi
for daemons
do
	part "$daemons"
done
