#!/bin/sh
# The instance that leads the core is killed in the last stage of a roll-out, as
# the new version, which fails under load, gets all requests.  Exit status: 1 if a
# rule was broken, 0 if not, 2 if the case could not run.  TROUBLE=0: without the
# kill.

here=$(cd "$(dirname "$0")" && pwd)
. "$here/../lib-2/common.sh"

duration=12000
rate=100
rollback=5000      # bound of the site
stable_window=4000 # bound of the site
bad_answers=50     # of the rule

# leader: the instance of the core that answers a read itself
leader() {
	for n in 0 1 2
	do
		grep -q ' elected ' "$work/core-$n.log" && last=core-$n
	done
	for n in 0 1 2
	do
		tail -n 400 "$work/core-$n.log" | grep ' elected \| deposed ' |
			tail -n 1 | grep -q ' elected ' && last=core-$n
	done
	echo "$last"
}

# rollout_state: what the operator reads
rollout_state() {
	for n in 0 1 2
	do
		reply=$("$stand" call "$net.$((10 + n)):8620" 1000 GET \
			/v1/rollouts/catalogue/read "" "Host: $net.10")
		case $reply in
		200*)
			echo "$reply" | grep -o 'running\|completed\|rolled_back'
			return
			;;
		esac
	done
}

# wait_until MS: until this time after the order
wait_until() {
	while test $(($("$stand" now) - ordered_at)) -lt "$1"
	do
		sleep 0.02
	done
}

for n in 0 1 2
do
	start_core $n true
done
start_proxy 0 status-desk
start_endpoint 0 status-desk i-status
for n in 1 2 3 4
do
	start_proxy $n catalogue
done
start_endpoint 1 catalogue i-old-1 v1
start_endpoint 2 catalogue i-old-2 v1
reply=$(order 0 "$(configuration 1 \
	'["r-1","a.example","/browse/","idempotent","3000ms","800ms",1,null,2,"catalogue"]' \
	'["status-desk","/health",530,"h1",false],["catalogue","/health",530,"h1",false]')")
note "operator: version 1: ${reply%% *}"
case $reply in
200*) ;;
*) give_up "no configuration: $reply" ;;
esac
wait_ready 0 1 2 3 4
start_endpoint 3 catalogue i-new-1 v2
start_endpoint 4 catalogue i-new-2 v2
sleep 2
"$stand" load "$net.40:8629" $rate 32000 "$record" GET /browse/1 \
	X-Attempt-Id request "Host: a.example" "X-Deadline-Ms: 5000" &
pids="$pids $!"
sleep 2
leader=$(leader)
reply=$("$stand" call "$net.$((10 + ${leader#core-})):8620" 1000 POST \
	/v1/rollouts/start \
	"{\"service\":\"catalogue\",\"target_version\":\"v2\",\"duration\":\"${duration}ms\"}" \
	"Host: $net.10")
ordered_at=$("$stand" now)
note "operator: roll-out of v2 to catalogue in $duration ms: $reply"
case $reply in
200*) ;;
*) give_up "no roll-out: $reply" ;;
esac

# One answer in six of the new version fails once it has most of the requests.
wait_until 9000
touch "$work/endpoint-3.fails" "$work/endpoint-4.fails"
note "the new version is under load"
stable_at=$ordered_at
wait_until 9300
if test "$trouble" != 0
then
	kill_program "$leader"
	note "killed: $leader"
	sleep 0.5
	sed -i 's/^first_start = true/first_start = false/' \
		"$work/$leader.toml"
	run_program "$leader"
	note "started again: $leader"
	stable_at=$(($("$stand" now) + stable_window))
fi
wait_until $duration
note "state at the end of the duration: $(rollout_state)"
wait_until 28000
note "state at the end: $(rollout_state)"

# Lines: time, endpoint, "runs", attempt, perhaps "badly".
bad_at=$(awk -v from="$stable_at" '$2 ~ /^i-new/ && $3 == "runs" &&
	$5 == "badly:" && $1 >= from { print $1 }' "$record" | sort -n |
	sed -n ${bad_answers}p)
late=0
if test -n "$bad_at"
then
	late=$(awk -v from=$((bad_at + rollback)) '$2 ~ /^i-new/ &&
		$3 == "runs" && $1 > from' "$record" | wc -l)
fi
all=$(grep -c ' i-.* runs ' "$record")
bad=$(grep -c ' i-new-.* badly: ' "$record")
note "run: $all, badly: $bad, by the bad version after $rollback ms from its ${bad_answers}th bad answer: $late"
test "$all" -gt 500 || give_up "too few requests"
echo "EXPOSURE: $late requests sent to a bad version after it had to be rolled back"
test "$late" -eq 0
