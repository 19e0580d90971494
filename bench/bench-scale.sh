#!/bin/sh
# Benchmarks of scale: how the work of each role grows with the mesh.
#
# usage: bench/bench-scale.sh BUILD [PART...]
# parts: decisions control storm

case_name=scale
. "$(dirname "$0")/lib.sh"
shift

LARGE=200 # daemons
STORM=300 # daemons

# Decisions and tables are measured at several sizes by separate programs.
part_decisions() {
	local program
	for program in rp_bench ds_bench cl_bench rt_bench
	do
		test -x "$build/$program" || continue
		"$build/$program" | grep '^bench ' || fail "$program"
	done
}

# begin DAEMONS: start a deployment with at least that many daemons and wait
# until the first version is in force
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

# processor time and memory of the control plane, without callers
part_control() {
	local daemon relay source before_d before_r before_s began n=0 us
	work_in control
	begin $LARGE
	daemon=$(names daemons | head -n 1)
	relay=$(names relays | head -n 1)
	source=$(leader)
	sleep 2
	before_d=$(cpu_us "$daemon")
	before_r=$(cpu_us "$relay")
	before_s=$(cpu_us "$source")
	began=$(now_us)
	while test $n -lt 60
	do
		n=$((n + 1))
		submit_change $n
	done
	us=$(($(now_us) - began))
	bench changes_per_s_in_run $((n * 1000000 / us)) changes/s
	bench daemon_control_cpu_pct "$(echo $(($(cpu_us "$daemon") -
		before_d)) $us | awk '{ printf "%.2f", 100 * $1 / $2 }')" percent
	bench relay_cpu_us_per_change $((($(cpu_us "$relay") - before_r) / n)) us
	bench source_cpu_us_per_change_in_run \
		$((($(cpu_us "$source") - before_s) / n)) us
	bench daemon_rss_mb_at_$LARGE "$(awk '/^VmRSS/ {
		printf "%.1f", $2 / 1000 }' "/proc/$(pid "$daemon")/status")" MB
	stop_mesh
}

# recovery after all relays crash at once: the time from their restart until a
# change is in force on every daemon
part_storm() {
	local name began
	work_in storm
	begin $STORM
	for name in $(names relays)
	do
		crash "$name"
	done
	sleep 3
	began=$(now_us)
	for name in $(names relays)
	do
		start_relay "$name"
	done
	submit_change 1
	poll "version $(last_version) everywhere" \
		in_force "$(last_version)" $(names daemons)
	bench storm_recovery_ms $((($(now_us) - began) / 1000)) ms
	stop_mesh
}

if test $# -eq 0
then
	set -- decisions control storm
fi
for part
do
	"part_$part"
done
