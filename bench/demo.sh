#!/bin/sh
# Runs both example deployments on loopback, one after the other, with callers,
# a stream of changes and faults, and prints their reports and a verdict.
#
# usage: bench/demo.sh BUILD [NAME...]
#
# MESH_NET    first two octets of all addresses, default 127.50
# DEMO_BREAK  fault of one backend server, which breaks a promise:
#             wrong-id, short or twice

top=$(cd "$(dirname "$0")/.." && pwd)
build=$(cd "$1" && pwd)
shift
case_name=demo
# shellcheck source=../test/process.sh
. "$top/test/process.sh"
# shellcheck source=mesh.sh
. "$top/bench/mesh.sh"

began=$(date +%s)
broken=0

# note TEXT: print a line of progress
note() {
	printf '%3d s  %s\n' $(($(date +%s) - began)) "$1"
}

# promise TEXT COMMAND...: print whether the promise TEXT held, as COMMAND tells
promise() {
	local text=$1
	shift
	if "$@"
	then
		printf '  held    %s\n' "$text"
	else
		printf '  BROKEN  %s\n' "$text"
		broken=$((broken + 1))
	fi
}

# service_options SERVICE: print the options of its backend servers
service_options() {
	case $1 in
	floor-plans | stock)
		echo --service-time 6ms --answer-bytes 4000 ;;
	scheduling | order-desk)
		echo --service-time 10ms ;;
	firmware | patterns)
		echo --service-time 5ms --download-bytes 200000 ;;
	esac
}

# calls_of NAME: print the mix of calls of a deployment
calls_of() {
	case $1 in
	bucle-andino)
		echo --call GET,/floor-plans,12 --call GET,/bookings,3 \
			--call POST,/bookings,4 --call GET,/firmware,1 ;;
	dinas)
		echo --call GET,/stock,12 --call GET,/orders,2 \
			--call POST,/orders,3 --call POST,/vouchers,2 \
			--call GET,/patterns,1 ;;
	esac
}

# first_path NAME: print a path that is called until it is answered
first_path() {
	case $1 in
	bucle-andino) echo /floor-plans ;;
	dinas) echo /stock ;;
	esac
}

# keyed_path NAME: print a path whose calls run at most once
keyed_path() {
	case $1 in
	bucle-andino) echo /bookings ;;
	dinas) echo /orders ;;
	esac
}

start_all() {
	local name fault
	start_link 30ms "$1"
	for name in $(names sources)
	do
		start_source "$name"
	done
	for name in $(names relays)
	do
		start_relay "$name"
	done
	fault=$DEMO_BREAK
	for name in $(names daemons)
	do
		start_backend "$name" --probe-time 6ms --cold-start 500ms \
			${fault:+--break $fault} $(service_options "$(setting \
			"$mesh/daemons/$name.toml" backend service)")
		fault=
		start_daemon "$name"
	done
}

# submit_first: submit the first configuration and the policy until each is
# accepted
submit_first() {
	poll "the configuration accepted" \
		submitted configuration.toml submit --id first
	poll "the policy accepted" submitted policy.toml policy --id table
}

# await_answers: wait until calls through every daemon and keyed calls of every
# data centre are answered
await_answers() {
	local name path home
	path=$(first_path "$mesh_name")
	for name in $(names daemons)
	do
		poll "an answer through $name" serves "$name" "$path"
	done
	path=$(keyed_path "$mesh_name")
	for home in $(data_centres)
	do
		poll "a keyed call with its home in $home" \
			takes_key "$name" "$home" "$path"
	done
}

# change_stream: submit one change a second until $work/enough exists; a change
# whose outcome is unknown is sent again under the same id
change_stream() {
	local n=0 tries
	while ! test -e "$work/enough"
	do
		n=$((n + 1))
		{
			cat "$mesh/configuration.toml"
			printf '\n[[routes]]\nname = "trial-%d"\n' $((n % 7))
			printf 'path = "/trial/%d"\n' "$n"
			printf 'service = "%s"\nidempotent = true\n' "$service"
		} >"$mesh/change.toml"
		tries=0
		until accepted_as "change-$n" || test $tries -ge 20
		do
			tries=$((tries + 1))
			sleep 0.1
		done
		echo "$n $(version_of "$work/submit.json")" \
			>>"$work/changes.txt"
		sleep 1
	done
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

start_callers() {
	local region
	for region in $(regions)
	do
		start "caller-$region" "$build/caller" --name "$region" \
			--rate 120 --deadline 5s --resend 5 --progress \
			$(daemon_options "$region") $(all_backends) \
			$(calls_of "$mesh_name")
	done
}

show_callers() {
	local region
	for region in $(regions)
	do
		note "  $region $(tail -n 1 "$work/caller-$region.err")"
	done
}

crash_relay() {
	local name
	name=$(names relays | head -n 1)
	note "kill -9 of relay $name"
	crash "$name"
	sleep 2
	start_relay "$name"
	sleep 1
}

crash_leader() {
	local name
	name=$(leader)
	note "kill -9 of the leading source $name"
	crash "$name"
	sleep 3
	note "the leader is now $(leader)"
	start_source "$name"
	sleep 1
}

crash_daemon() {
	local name
	name=$(names daemons | head -n 1)
	note "kill -9 of daemon $name"
	crash "$name"
	sleep 2
	start_daemon "$name"
	sleep 1
}

# drain_daemon: stop a daemon gracefully while calls enter at it
drain_daemon() {
	local name before
	name=$(names daemons | tail -n 2 | head -n 1)
	note "graceful stop of daemon $name"
	start caller-drain "$build/caller" --name drain --rate 50 --count 60 \
		--deadline 3s --daemon "$(caller_address "$name")" \
		--home "$(data_centre "$name")" $(calls_of "$mesh_name")
	sleep 0.5
	stop "$name"
	drain_status=$?
	wait_end caller-drain
	sleep 1
	before=$(runs_of "$name")
	sleep 1
	drain_late=$(($(runs_of "$name") - before))
	start_daemon "$name"
}

# runs_of DAEMON: count the calls that its backend server has run so far
runs_of() {
	curl -s "http://$(backend_address "$1")/_counts" | grep -o '":[0-9]' |
		wc -l
}

silence_and_cut() {
	note "open connections between the regions lose all data"
	link_command silence >/dev/null
	sleep 3
	note "the regions are cut off from each other"
	link_command cut >/dev/null
	sleep 4
	show_callers
	note "the regions are connected again"
	link_command heal >/dev/null
	sleep 3
}

# finish: end the changes, wait until the last version is in force on every
# daemon, and stop the callers
finish() {
	local name region
	touch "$work/enough"
	wait "$changes" 2>/dev/null
	poll "a last version accepted" \
		submitted configuration.toml submit --id last
	last=$(version_of "$work/submit.json")
	settled=yes
	note "version $last accepted; waiting until it is in force everywhere"
	for tries in 1 2 3 4 5 6 7 8 9 10 11 12
	do
		in_force "$last" $(names daemons) && break
		test $tries = 12 && settled=no
		sleep 0.5
	done
	for region in $(regions)
	do
		stop "caller-$region"
		cp "$work/caller-$region.out" "$work/caller-$region.json"
	done
	cp "$work/caller-drain.out" "$work/caller-drain.json"
}

# field FILE NAME: print a number of a caller's figures, or 0
field() {
	sed -n "s/.*\"$2\":\([0-9]*\).*/\1/p" "$work/$1.json" | grep . || echo 0
}

# all_zero NAME: whether the number is 0 in the figures of all callers
all_zero() {
	local region
	for region in $(regions)
	do
		test "$(field "caller-$region" "$1")" = 0 || return 1
	done
}

# most_answered: whether at least nine calls in ten were answered; with fewer,
# the other checks prove little
most_answered() {
	local region
	for region in $(regions)
	do
		test $((10 * $(field "caller-$region" answered))) -ge \
			$((9 * $(field "caller-$region" calls))) || return 1
	done
}

# no_version_regression: whether no daemon has put an older version in force
# after a newer one
no_version_regression() {
	local name
	for name in $(names daemons)
	do
		test "$(count_version_regressions "$name")" = 0 || return 1
	done
}

# accepted_in_order: whether accepted versions only grow, so that none was lost,
# and at least five changes were accepted
accepted_in_order() {
	awk 'NF < 2 { next } $2 <= last { bad = 1 } { last = $2; n++ }
		END { exit bad || n < 5 }' "$work/changes.txt"
}

stop_all() {
	local kind name
	stopped=yes
	for kind in daemons relays sources
	do
		for name in $(names $kind)
		do
			send TERM "$name"
		done
		for name in $(names $kind)
		do
			wait_end "$name" || stopped=$name
		done
	done
	for name in $(names daemons)
	do
		stop "backend-$name"
	done
	stop link
}

verdict() {
	promise "the last accepted version is in force on every daemon" \
		test $settled = yes
	promise "accepted versions only grow, through crashes and cuts" \
		accepted_in_order
	promise "no daemon went back to an older version" \
		no_version_regression
	promise "every answer was complete and belonged to its call" \
		all_zero wrong_or_short_answers
	promise "no call that was answered \"not run\" was run" \
		all_zero false_not_run
	promise "every call that was answered was run" all_zero answered_not_run
	promise "no booking, order or voucher ran twice" all_zero double_runs
	promise "the draining backend server got no new calls after 1 s" \
		test "$drain_late" = 0
	promise "the graceful stop lost no request" \
		test "$drain_status/$(field caller-drain lost)" = 0/0
	promise "at least nine in ten calls were answered" \
		most_answered
	promise "the report says that the day held" test $report_status = 0
	promise "every process stopped gracefully" test $stopped = yes
}

# run_deployment NAME LINK-MBIT-PER-S: run one deployment to its verdict
run_deployment() {
	work=$build/demo/$1
	rm -rf "$work"
	mkdir -p "$work"
	mesh=$work/mesh
	mesh_prepare "$1"
	service=$(setting "$mesh/configuration.toml" '[services]' name)
	note "$1: $(names daemons | wc -l) daemons, $(names relays |
		wc -l) relays, $(names sources | wc -l) sources"
	start_all "$2"
	submit_first
	await_answers
	note "the first configuration is served by every daemon"
	start_callers
	change_stream &
	changes=$!
	sleep 3
	show_callers
	crash_relay
	crash_leader
	show_callers
	crash_daemon
	drain_daemon
	show_callers
	silence_and_cut
	finish
	show_callers
	ctl report --html "$work/report.html" >"$work/report.txt"
	report_status=$?
	stop_all
	echo
	cat "$work/report.txt"
	echo
	echo "$1: what callers and backend servers saw"
	verdict
	echo
}

if test $# -eq 0
then
	set -- bucle-andino dinas
fi
for deployment
do
	case $deployment in
	bucle-andino) run_deployment "$deployment" 30 ;;
	dinas) run_deployment "$deployment" 35 ;;
	*) fail "no such deployment: $deployment" ;;
	esac
done
if test $broken -gt 0
then
	echo "$broken promises were broken"
	exit 1
fi
echo "every promise held"
