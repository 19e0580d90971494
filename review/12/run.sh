#!/bin/sh
# Starts a new deployment, whose three seeds are named in another order on each
# machine, so that no seed names itself first, and has an operator send the first
# configuration and clients send requests.  With TROUBLE=0 all machines name the
# seeds in one order.

cd "$(dirname "$0")/../.." || exit 2
case=12
. review/lib-3/lib.sh
trouble=${TROUBLE:-1}
seconds=60

# name_seeds FIRST SECOND THIRD: set the order in which a machine names them
name_seeds() {
	if test "$trouble" = 0
	then
		set -- 1 2 3
	fi
	seeds="[\"$net.$1:8620\", \"$net.$2:8620\", \"$net.$3:8620\"]"
}

# ask_all: send a request to each proxy, and count those that are served
ask_all() {
	for i in $sides
	do
		asked=$((asked + 1))
		answer=$($stand_in call "$net.$i" 8629 GET "/one/$asked" "Host: first.example" \
			"X-Attempt-Id: r$asked" "X-Deadline-Ms: 1500")
		note "request r$asked at proxy $i: answered ${answer%% *}"
		test "${answer%% *}" != 200 || served=$((served + 1))
	done
}

: >"$record"
trap 'finish 2' EXIT INT TERM
for program in target/caraway-core target/caraway-proxy $stand_in
do
	test -x $program || cannot "$program is not built"
done
name_seeds 2 3 1
start core 1 none
name_seeds 3 1 2
start core 2 none
name_seeds 1 2 3
start core 3 none
for i in $sides
do
	start proxy "$i" svc
	$stand_in backend "$net.$i" 8628 "$work/backend-$i" &
	pids="$pids $!"
done
asked=0
served=0
acknowledged=none
begun=$(date +%s)
while test $(($(date +%s) - begun)) -lt $seconds
do
	if test $acknowledged = none
	then
		outcome=$(operate POST /v1/config/replace "X-Base-Version: 00000000" "Content-Type: application/json" <<-END
			{"version":"00000001","routes":{"columns":["name","host","path_prefix","kind","timeout","target_latency","priority","weighted_split","attempts","service"],
			"rows":[["r-one","first.example","/one/","idempotent","1500ms","500ms",1,null,2,"svc"]]},
			"services":{"columns":["name","health_path","max_connections","protocol","tls"],"rows":[["svc","/health",130,"h1",false]]},
			"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}
			END
		)
		test "${outcome%% *}" != 200 || acknowledged=$(($(date +%s) - begun))
		note "first configuration sent to each core in turn: answered ${outcome:-503 or nothing by all, 20 times}"
	fi
	beat
	ask_all
	test $acknowledged = none || test $served -lt 20 || break
	sleep 0.5
done
note "first configuration acknowledged after: $acknowledged s; requests served: $served of $asked"
broken=0
test $acknowledged != none && test $served -gt 0 || broken=1
note "result: $broken"
finish $broken
