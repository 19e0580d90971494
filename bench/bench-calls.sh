#!/bin/sh
# Benchmarks of calls: latency that the mesh adds, calls per core, a slow
# endpoint, and wrong outcomes under faults and graceful stops.  The baseline is
# the direct path from the caller to the backend server, in the same run.
#
# usage: bench/bench-calls.sh BUILD [PART...]
# parts: decisions added capacity slow harm stops

case_name=calls
. "$(dirname "$0")/lib.sh"
shift

MEASURE_SECONDS=10
STOPS=6

# keep_daemons NAME...: remove the settings of all other daemons
keep_daemons() {
	local name
	for name in $(names daemons)
	do
		case " $* " in
		*" $name "*) ;;
		*) rm "$mesh/daemons/$name.toml" ;;
		esac
	done
}

# set_log_level LEVEL: set the log level of the daemons
set_log_level() {
	sed -i "s/^level = .*/level = \"$1\"/" "$mesh"/daemons/*.toml
}

# start_call_mesh NAME...: start a deployment with these daemons and wait until
# it answers calls; calls run for $service_time, by default 0
start_call_mesh() {
	local name
	mesh_prepare bucle-andino
	keep_daemons "$@"
	start_control_plane 30
	for name
	do
		start_backend "$name" --service-time "${service_time:-0ms}"
		start_daemon "$name"
	done
	poll "the configuration accepted" \
		submitted configuration.toml submit --id first
	for name
	do
		poll "an answer through $name" serves "$name" /floor-plans
		poll "an answer through $name" serves "$name" /bookings
	done
}

restart_daemons() {
	local name
	for name
	do
		stop "$name"
		start_daemon "$name"
	done
	for name
	do
		poll "an answer through $name" serves "$name" /floor-plans
		poll "an answer through $name" serves "$name" /bookings
	done
}

# measure FILE RATE OPTIONS...: run a caller, with its figures in
# $work/FILE.json; every call must be answered
measure() {
	local file=$1 rate=$2
	shift 2
	"$build/caller" --rate "$rate" --count $((rate * MEASURE_SECONDS)) \
		"$@" >"$work/$file.json" 2>"$work/$file.err"
	test "$(field "$file" answered)" = "$(field "$file" calls)" ||
		fail "$file: $(cat "$work/$file.json")"
}

# field FILE NAME: print a number of $work/FILE.json, or 0
field() {
	sed -n "s/.*\"$2\":\([0-9]*\).*/\1/p" "$work/$1.json" | grep . || echo 0
}

# added SUFFIX RATE: measure the latency added on the local path, over one
# daemon, and on the whole path, over two, at one rate
added() {
	local suffix=$1 rate=$2 path q
	measure plain "$rate" --daemon "$(backend_address floor-plans-1)" \
		--call GET,/floor-plans,1
	measure local "$rate" --daemon "$(caller_address floor-plans-1)" \
		--call GET,/floor-plans,1
	measure whole "$rate" --daemon "$(caller_address scheduling-1)" \
		--call GET,/floor-plans,1
	for q in p50 p99
	do
		bench "plain_${q}_us_$suffix" "$(field plain ${q}_us)" us
		for path in local whole
		do
			bench "added_${q}_us_${path}_$suffix" $(($(field \
				$path ${q}_us) - $(field plain ${q}_us))) us
		done
	done
}

# cost and effect of the decisions about calls, in virtual time
part_decisions() {
	"$build/cl_bench"
}

part_added() {
	work_in added
	start_call_mesh floor-plans-1 scheduling-1
	added 170 170
	added 2000 2000
	set_log_level warning
	restart_daemons floor-plans-1 scheduling-1
	added 2000_no_log 2000
	stop_mesh
}

# calls per second of processor time, over one daemon and over two
part_capacity() {
	local before n=40000
	work_in capacity
	start_call_mesh floor-plans-1 scheduling-1
	before=$(cpu_us floor-plans-1)
	"$build/caller" --rate 4000 --count $n --deadline 5s \
		--daemon "$(caller_address floor-plans-1)" \
		--call GET,/floor-plans,1 >"$work/local.json"
	bench calls_per_core_s_local $((1000000 * $(field local answered) /
		($(cpu_us floor-plans-1) - before))) calls/s
	before=$(($(cpu_us floor-plans-1) + $(cpu_us scheduling-1)))
	"$build/caller" --rate 4000 --count $n --deadline 5s \
		--daemon "$(caller_address scheduling-1)" \
		--call GET,/floor-plans,1 >"$work/whole.json"
	bench calls_per_core_s_whole $((1000000 * $(field whole answered) /
		($(cpu_us floor-plans-1) + $(cpu_us scheduling-1) - before))) \
		calls/s
	stop_mesh
}

# latency with one of six endpoints ten times slower, against all healthy
part_slow() {
	local name slow healthy
	work_in slow
	service_time=6ms
	start_call_mesh $(daemons_of_service floor-plans) scheduling-1
	measure healthy 300 --daemon "$(caller_address scheduling-1)" \
		--call GET,/floor-plans,1
	stop backend-floor-plans-2
	start_backend floor-plans-2 --service-time 60ms
	sleep 1
	measure slow 300 --daemon "$(caller_address scheduling-1)" \
		--call GET,/floor-plans,1
	slow=$(field slow p99_us)
	healthy=$(field healthy p99_us)
	bench p99_ratio_slow_endpoint \
		"$(echo "$slow $healthy" | awk '{ printf "%.2f", $1 / $2 }')" 1
	service_time=
	stop_mesh
}

# daemons_of_service SERVICE: list the daemons of the example with that service
daemons_of_service() {
	(cd "$top/examples/bucle-andino/daemons" && ls "$1"-*.toml) |
		sed 's/\.toml//'
}

# wrong outcomes among 100,000 calls while daemons crash and stop, a relay
# crashes and the regions are cut off from each other
part_harm() {
	local name region home all=0 kind n
	work_in harm
	mesh_prepare bucle-andino
	set_log_level warning
	start_control_plane 30
	for name in $(names daemons)
	do
		start_backend "$name" --service-time 2ms
		start_daemon "$name"
	done
	poll "the configuration accepted" \
		submitted configuration.toml submit --id first
	for name in $(names daemons)
	do
		poll "an answer through $name" serves "$name" /floor-plans
	done
	for home in $(data_centres)
	do
		poll "a keyed call with its home in $home" \
			takes_key "$name" "$home" /bookings
	done
	for region in $(regions)
	do
		start "caller-$region" "$build/caller" --name "$region" \
			--rate 1000 --count 50000 --deadline 5s --resend 5 \
			--call GET,/floor-plans,2 --call POST,/bookings,2 \
			$(daemon_options "$region") $(all_backends)
	done
	inject_faults
	for region in $(regions)
	do
		wait_end "caller-$region"
		cp "$work/caller-$region.out" "$work/$region.json"
	done
	for kind in calls answered double_runs false_not_run \
		wrong_or_short_answers answered_not_run
	do
		all=0
		for region in $(regions)
		do
			n=$(field "$region" $kind)
			all=$((all + n))
		done
		bench "harm_$kind" $all calls
	done
	stop_mesh
}

# inject_faults: crash, stop and restart daemons and a relay; silence, cut and
# heal the link
inject_faults() {
	local name
	sleep 3
	crash floor-plans-1
	sleep 2
	start_daemon floor-plans-1
	sleep 2
	crash scheduling-1
	sleep 2
	start_daemon scheduling-1
	sleep 2
	name=$(names relays | head -n 1)
	crash "$name"
	sleep 2
	start_relay "$name"
	link_command silence >/dev/null
	sleep 3
	link_command cut >/dev/null
	sleep 4
	link_command heal >/dev/null
	sleep 3
	stop scheduling-2
	sleep 1
	start_daemon scheduling-2
	sleep 2
	crash scheduling-3
	crash floor-plans-3
	sleep 2
	start_daemon scheduling-3
	start_daemon floor-plans-3
}

# requests cut by graceful stops: calls enter at a daemon while it is stopped,
# several times; an answer that is lost was cut by the stop
part_stops() {
	local n=0 cut=0
	work_in stops
	service_time=5ms
	start_call_mesh floor-plans-1 scheduling-1
	while test $n -lt $STOPS
	do
		n=$((n + 1))
		start stop-caller "$build/caller" --rate 200 --count 150 \
			--deadline 3s --name "stop-$n" --resend 2 \
			--daemon "$(caller_address scheduling-1)" \
			--call GET,/floor-plans,1 --call POST,/bookings,1
		sleep 0.4
		stop scheduling-1 || cut=$((cut + 1))
		wait_end stop-caller
		cp "$work/stop-caller.out" "$work/stop.json"
		: >"$work/stop-caller.out"
		cut=$((cut + $(field stop lost)))
		start_daemon scheduling-1
		poll "scheduling-1 back" serves scheduling-1 /bookings
	done
	bench cut_by_graceful_stop $cut calls
	service_time=
	stop_mesh
}

# daemon_options REGION: print the caller's options for the daemons of a region
daemon_options() {
	local name
	for name in $(names_in "$1" daemons)
	do
		echo "--daemon $(caller_address "$name")"
		echo "--home $(data_centre "$name")"
	done
}

all_backends() {
	local name
	for name in $(names daemons)
	do
		echo "--backend $(backend_address "$name")"
	done
}

if test $# -eq 0
then
	set -- decisions added capacity slow harm stops
fi
for part
do
	"part_$part"
done
