#!/bin/sh
# All processes of the system are killed right after an endpoint's deregistration
# was acknowledged, and a ping that it sent before arrives late.  Exit status: 1 if
# a rule was broken, 0 if not, 2 if the case could not run.  TROUBLE=0: without the
# kill; the ping is as late.

here=$(cd "$(dirname "$0")" && pwd)
. "$here/../lib-2/common.sh"

all="core-0 core-1 core-2 sidecar-0 sidecar-1 sidecar-2"
for n in 0 1 2
do
	start_core $n true
done
start_proxy 0 planos
start_proxy 1 firmware
start_proxy 2 firmware
start_endpoint 0 planos i-planos
start_endpoint 1 firmware i-firmware-1
start_endpoint 2 firmware i-firmware-2
reply=$(order 0 "$(configuration 1 \
	'["r-1","a.example","/planos/","idempotent","3000ms","800ms",1,null,2,"planos"],["r-3","a.example","/firmware/","download","3000ms","800ms",1,null,2,"firmware"]' \
	'["planos","/health",120,"h1",false],["firmware","/health",120,"h1",false]')")
note "operator: version 1: ${reply%% *}"
case $reply in
200*) ;;
*) give_up "no configuration: $reply" ;;
esac
wait_ready 0 1 2
sleep 5
for i in 1 2 3 4 5 6 7 8
do
	note "client: before-$i: $(request 0 "before-$i" GET "/firmware/$i")"
done
grep -q 'i-firmware-2 runs' "$record" || give_up "i-firmware-2 was never used"

# The last ping is on its way; then the endpoint leaves without "draining".
touch "$work/quiet-2"
sleep 0.3
late=$(ping_body 2 ready)
touch "$work/endpoint-2.leaves"
read -r service id born version <"$work/endpoint-2"
read -r sequence <"$work/sequence-2"
status=$(tell 2 deregister \
	"{\"service\":\"$service\",\"sequence\":$((sequence + 1)),\"born\":$born}")
left_at=$("$stand" now)
note "i-firmware-2: deregister: $status"
test "$status" = 200 || give_up "not acknowledged"
if test "$trouble" != 0
then
	for name in $all
	do
		kill_program "$name"
	done
	note "killed: $all"
	sleep 0.5
	for n in 0 1 2
	do
		sed -i 's/^first_start = true/first_start = false/' \
			"$work/core-$n.toml"
	done
	for name in $all
	do
		run_program "$name"
	done
	note "started again: $all"
fi
while test $(($("$stand" now) - left_at)) -lt 3000
do
	sleep 0.05
done
note "i-firmware-2: the ping from before arrives: $(tell 2 heartbeat "$late")"

# All are in touch 8 s after a fault that took all of the core.
while test $(($("$stand" now) - left_at)) -lt 10000
do
	sleep 0.05
done
note "the requests after it"
mark=$(wc -l <"$record")
for i in 1 2 3 4 5 6 7 8 9 10
do
	note "client: after-$i: $(request 0 "after-$i" GET "/firmware/$i")"
	sleep 0.1
done
late_runs=$(tail -n +"$mark" "$record" | grep -c 'i-firmware-2 runs after')
runs=$(tail -n +"$mark" "$record" | grep -c 'runs after')
note "run by the endpoint that has left: $late_runs of $runs"
test "$runs" -gt 0 || give_up "nothing was run"
echo "DRAIN: $late_runs requests reached an endpoint 10 s after it had left"
test "$late_runs" -eq 0
