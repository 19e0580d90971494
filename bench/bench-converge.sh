#!/bin/sh
# Benchmarks of convergence: the time from the acceptance of a configuration
# until it is in force on every daemon, and the bytes sent for it, with a 30 ms
# link between the regions.
#
# usage: bench/bench-converge.sh BUILD [PART...]
# parts: today large bytes faults

case_name=converge
. "$(dirname "$0")/lib.sh"
shift

CHANGES=100
LARGE=200 # daemons

# measure_changes PREFIX COUNT: submit changes and print the quantiles of the
# time until they were in force on the daemons in $counted
measure_changes() {
	local prefix=$1 n=0 from
	submit_change 1000
	from=$(last_version)
	while test $n -lt "$2"
	do
		n=$((n + 1))
		submit_change $n
	done
	poll "the last version everywhere" in_force "$(last_version)" $counted
	set -- $(awk -v from="$from" -v to="$(last_version)" \
		-f "$top/bench/converge.awk" "$mesh"/log/s*.log \
		$(logs_of $counted))
	test $# = 4 || fail "$prefix: versions are missing"
	bench "${prefix}_p50_ms" "$1" ms
	bench "${prefix}_p99_ms" "$2" ms
	bench "${prefix}_max_ms" "$3" ms
}

logs_of() {
	local name
	for name
	do
		echo "$mesh/log/$name.log"
	done
}

# begin DAEMONS: start a deployment with at least that many daemons, without
# callers, and wait until the first version is in force
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
	poll "the policy accepted" submitted policy.toml policy --id table
	poll "the first version everywhere" \
		in_force "$(last_version)" $(names daemons)
}

# churn: restart the daemons in $churning in turn until $work/enough exists
churn() {
	while ! test -e "$work/enough"
	do
		for name in $churning
		do
			stop "$name"
			sleep 0.5
			start_daemon "$name"
			sleep 0.5
		done
	done
}

begin_churn() {
	churning=$(names daemons | tail -n 2)
	counted=$(names daemons | head -n -2)
	churn &
	churner=$!
}

end_churn() {
	touch "$work/enough"
	wait "$churner"
}

part_today() {
	work_in today
	begin 0
	begin_churn
	measure_changes converge $CHANGES
	end_churn
	stop_mesh
}

part_large() {
	work_in large
	begin $LARGE
	begin_churn
	measure_changes "converge_${LARGE}" $CHANGES
	end_churn
	stop_mesh
}

# control_bytes: print the control bytes that the daemons in $counted have sent
# and received so far
control_bytes() {
	local name n=0
	for name in $counted
	do
		n=$((n + $(counter caraway_control_bytes_sent_total "$name") +
			$(counter caraway_control_bytes_received_total "$name")))
	done
	echo $n
}

# bytes_per_daemon NAME SECONDS COMMAND...: measure the control bytes per daemon
# and second while the command runs
bytes_per_daemon() {
	local name=$1 seconds=$2 before
	shift 2
	before=$(control_bytes)
	"$@"
	bench "$name" $((($(control_bytes) - before) / seconds /
		$(echo $counted | wc -w))) B/s
}

# busy_day SECONDS: make changes and endpoint events at the rate of a day with
# 18,000 changes and 24,000 endpoint events (a restart makes two)
busy_day() {
	local n=0 end
	end=$(($(date +%s) + $1))
	while test "$(date +%s)" -lt $end
	do
		n=$((n + 1))
		submit_change $n
		if test $((n % 3)) = 0
		then
			stop "$churning"
			start_daemon "$churning"
		fi
		sleep 4.7
	done
}

part_bytes() {
	local before n idle_seconds=10 idle
	work_in bytes
	begin 0
	churning=$(names daemons | tail -n 1)
	counted=$(names daemons | head -n -1)
	sleep 2
	before=$(link_bytes)
	bytes_per_daemon control_bytes_per_daemon_s_idle $idle_seconds \
		sleep $idle_seconds
	idle=$(($(link_bytes) - before))
	bench cross_region_bytes_idle_s $((idle / idle_seconds)) B/s
	bytes_per_daemon control_bytes_per_daemon_s_busy 30 busy_day 30
	before=$(link_bytes)
	n=0
	while test $n -lt 20
	do
		n=$((n + 1))
		submit_change $((100 + n))
		sleep 0.45
	done
	bench cross_region_bytes_per_change \
		$((($(link_bytes) - before - idle) / n)) B
	stop_mesh
}

# measure_convergence NAME START N: submit change N and print the time from
# START until it is in force on every daemon
measure_convergence() {
	submit_change "$3"
	poll "version $(last_version) everywhere" \
		in_force "$(last_version)" $(names daemons)
	bench "$1" $((($(now_us) - $2) / 1000)) ms
}

part_faults() {
	local name began
	work_in faults
	begin 0
	name=$(names relays | head -n 1)
	began=$(now_us)
	crash "$name"
	measure_convergence converge_after_relay_crash_ms "$began" 1
	start_relay "$name"
	name=$(leader)
	began=$(now_us)
	crash "$name"
	measure_convergence converge_after_leader_crash_ms "$began" 2
	start_source "$name"
	sleep 2
	link_command silence >/dev/null
	began=$(now_us)
	measure_convergence converge_after_silence_ms "$began" 3
	link_command cut >/dev/null
	sleep 5
	write_change 4
	submitted change.toml submit --id cut-4 --timeout 3
	began=$(now_us)
	link_command heal >/dev/null
	measure_convergence converge_after_cut_ms "$began" 5
	stop_mesh
}

if test $# -eq 0
then
	set -- today large bytes faults
fi
for part
do
	"part_$part"
done
