#!/bin/sh
# Starts a new deployment whose grace is 6.5 s, has an operator send the first
# configuration and clients send requests, and starts processes that end again,
# as the platform does.  With TROUBLE=0 the grace is 6 s.

cd "$(dirname "$0")/../.." || exit 2
case=15
. review/lib-3/lib.sh
test "${TROUBLE:-1}" = 0 || grace=6.5s
seconds=15

# keep_running PROGRAM HOST: count the end of an instance, and start it again
keep_running() {
	eval "pid=\${pid_$2}"
	kill -0 "$pid" 2>/dev/null && return
	wait "$pid"
	note "the process of $1 at $2 has ended by itself, with status $?"
	ended=$((ended + 1))
	sleep 0.2
	launch "$1" "$2"
	eval "pid_$2=$!"
}

# keep_all_running: the same for all instances
keep_all_running() {
	for i in $cores
	do
		keep_running core "$i"
	done
	for i in $sides
	do
		keep_running proxy "$i"
	done
}

: >"$record"
trap 'finish 2' EXIT INT TERM
for program in target/caraway-core target/caraway-proxy $stand_in
do
	test -x $program || cannot "$program is not built"
done
for i in $cores
do
	start core "$i" none
	eval "pid_$i=$!"
done
for i in $sides
do
	start proxy "$i" svc
	eval "pid_$i=$!"
	$stand_in backend "$net.$i" 8628 "$work/backend-$i" &
	pids="$pids $!"
done
note "settings: $(grep -h grace "$work"/*.toml | sort | uniq -c | tr -s ' ')"
ended=0
asked=0
served=0
acknowledged=no
begun=$(date +%s)
while test $(($(date +%s) - begun)) -lt $seconds
do
	sleep 0.5
	keep_all_running
	if test $acknowledged = no
	then
		outcome=$(operate POST /v1/config/replace "X-Base-Version: 00000000" "Content-Type: application/json" <<-END
			{"version":"00000001","routes":{"columns":["name","host","path_prefix","kind","timeout","target_latency","priority","weighted_split","attempts","service"],
			"rows":[["r-one","first.example","/one/","idempotent","1500ms","500ms",1,null,2,"svc"]]},
			"services":{"columns":["name","health_path","max_connections","protocol","tls"],"rows":[["svc","/health",130,"h1",false]]},
			"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}
			END
		)
		test "${outcome%% *}" != 200 || acknowledged=yes
	fi
	beat
	for i in $sides
	do
		asked=$((asked + 1))
		answer=$($stand_in call "$net.$i" 8629 GET "/one/$asked" "Host: first.example" \
			"X-Attempt-Id: r$asked" "X-Deadline-Ms: 1500")
		test "${answer%% *}" != 200 || served=$((served + 1))
	done
done
sed 's/^/    /' "$work/proxy-11.log" | tail -1 >>"$record"
note "first configuration acknowledged: $acknowledged; requests served: $served of $asked; ends of processes: $ended"
broken=0
test $served -gt 0 && test $ended -lt 3 || broken=1
note "result: $broken"
finish $broken
