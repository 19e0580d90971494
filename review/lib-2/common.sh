# Shared by the scripts of cases 6 to 10; sourced, after "here" is set to the
# folder of the case.  A deployment is three instances of the core and some
# proxies, each with a backend server (an endpoint) beside it, on a loopback
# network of its own.

top=$(cd "$here/../.." && pwd)
cd "$top" || exit 2
stand=build/review-2/stand
trouble=${TROUBLE:-1}
record=$here/record.txt
work=$(mktemp -d) || exit 2
net=127.$(($$ % 180 + 40)).$(($$ / 180 % 250 + 2))
pids=
revision=0
: >"$record"

if ! test -x target/caraway-core || ! test -x "$stand"
then
	echo "build the programs and review/build-2.sh first" >&2
	exit 2
fi

# finish: end all processes that were started
finish() {
	touch "$work/stop"
	for p in $pids
	do
		kill -CONT "$p" 2>/dev/null
		kill -KILL "$p" 2>/dev/null
	done
	wait 2>/dev/null
	rm -rf "$work"
}
trap finish EXIT
trap 'exit 2' INT TERM HUP

# note TEXT: add a line to the record
note() {
	echo "$("$stand" now) $*" >>"$record"
}

# give_up TEXT: the case could not run
give_up() {
	note "could not run: $*"
	echo "could not run: $*" >&2
	exit 2
}

# run_program NAME: start it with the command of the deploy file
run_program() {
	case $1 in
	core-*) program=target/caraway-core ;;
	*) program=target/caraway-proxy ;;
	esac
	"$program" --settings "$work/$1.toml" >>"$work/$1.log" 2>&1 &
	echo $! >"$work/$1.pid"
	pids="$pids $!"
}

# kill_program NAME: SIGKILL
kill_program() {
	kill -KILL "$(cat "$work/$1.pid")" 2>/dev/null
	wait "$(cat "$work/$1.pid")" 2>/dev/null
}

seeds() {
	echo "[\"$net.10:8620\",\"$net.11:8620\",\"$net.12:8620\"]"
}

# head_of NAME ADDRESS: settings that all programs have, as the templates give them
head_of() {
	cat <<EOF
[mesh]
name = "carawaybend"
key_file = "deploy/mesh.key"
[instance]
name = "$1"
data_centre = "andina-a"
region = "andina"
[log]
file = "-"
level = "info"
[metrics]
address = "$2:9600"
EOF
}

# start_core N FIRST: instance N of the core; FIRST: the first start of the system
start_core() {
	at=$net.$((10 + $1))
	mkdir -p "$work/data-$1"
	{
		head_of "core-$1" "$at"
		cat <<EOF
[core]
operator_address = "$at:8620"
source_address = "$at:7600"
relay_address = "$at:7601"
data_folder = "$work/data-$1"
grace = "6s"
memory_mb = 256
[group]
seeds = $(seeds)
first_start = $2
losses = 1
EOF
	} >"$work/core-$1.toml"
	run_program "core-$1"
}

# start_proxy N SERVICE: the proxy beside an endpoint of SERVICE
start_proxy() {
	at=$net.$((40 + $1))
	{
		head_of "sidecar-$1" "$at"
		cat <<EOF
[proxy]
caller_address = "$at:8629"
peer_address = "$at:8624"
ready_address = "$at:8625"
beat_address = "$at:8620"
grace = "6s"
memory_mb = 260
descriptors = 4100
link_rate = "1000.0Mbit"
[backend]
address = "$at:8628"
service = "$2"
[relays]
addresses = $(seeds)
port = 7601
EOF
	} >"$work/sidecar-$1.toml"
	run_program "sidecar-$1"
}

# start_endpoint N SERVICE ID [VERSION]: an endpoint, which sends a ping each 1.5 s
start_endpoint() {
	"$stand" serve "$net.$((40 + $1)):8628" "$3" \
		"${work_ms:-20}" "$record" \
		"$work/endpoint-$1" X-Attempt-Id X-Response-Stamp \
		X-Target-Instance X-Not-Executed Server-Leaving \
		2>>"$work/stand.log" &
	pids="$pids $!"
	echo "$2 $3 $(date +%s)000 ${4:-v1}" >"$work/endpoint-$1"
	echo 0 >"$work/sequence-$1"
	(
		trap - EXIT
		until test -e "$work/stop"
		do
			if test -e "$work/quiet-$1"
			then
				sleep 0.1
			elif test "$(ping "$1" ready)" = 200
			then
				sleep 1.5
			else
				sleep 0.3
			fi
		done
	) &
	pids="$pids $!"
}

# ping_body N STATE: the next ping of endpoint N
ping_body() {
	read -r service id born version <"$work/endpoint-$1"
	read -r sequence <"$work/sequence-$1"
	sequence=$((sequence + 1))
	echo $sequence >"$work/sequence-$1"
	printf '{"service":"%s","address":"%s","zone":"andina-a","version":"%s","slots":12,"state":"%s","cold_left":"0ms","sequence":%d,"born":%s}' \
		"$service" "$net.$((40 + $1)):8628" "$version" "$2" "$sequence" "$born"
}

# tell N CALL BODY: what endpoint N, or another writer, says; prints the status
tell() {
	read -r service id born version <"$work/endpoint-$1"
	"$stand" call "$net.$((40 + $1)):8620" 1000 POST \
		"/v1/instances/$id/$2" "$3" "Host: $net.$((40 + $1))" |
		cut -d' ' -f1
}

# ping N STATE: prints the status
ping() {
	tell "$1" heartbeat "$(ping_body "$1" "$2")"
}

# request N ID METHOD PATH: a client at proxy N; prints the status and the body
request() {
	body=
	test "$3" = GET || body='{"n":1}'
	"$stand" call "$net.$((40 + $1)):8629" 6000 "$3" "$4" "$body" \
		"Host: a.example" "X-Attempt-Id: $2" "X-Deadline-Ms: 5000"
}

# configuration VERSION ROWS SERVICES: prints the body
configuration() {
	printf '{"version":"%08x","routes":{"columns":["name","host","path_prefix","kind","timeout","target_latency","priority","weighted_split","attempts","service"],"rows":[%s]},"services":{"columns":["name","health_path","max_connections","protocol","tls"],"rows":[%s]},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}' \
		"$1" "$2" "$3"
}

# order BASE BODY: an operator's change, sent again for 15 s without clear answer
order() {
	i=0
	while test $i -lt 60
	do
		reply=$("$stand" call "$net.$((10 + i % 3)):8620" 1000 POST \
			/v1/config/replace "$2" "Host: $net.10" \
			"X-Base-Version: $(printf %08x "$1")")
		case $reply in
		200* | 400* | 409* | 412* | 413* | 422*) break ;;
		esac
		i=$((i + 1))
		sleep 0.25
	done
	echo "$reply"
}

# wait_ready N...: until these proxies are ready
wait_ready() {
	for n in "$@"
	do
		i=0
		until "$stand" call "$net.$((40 + n)):8625" 1000 GET \
			/v1/ready "" "Host: $net.$((40 + n))" | grep -q ^200
		do
			i=$((i + 1))
			test $i -lt 100 || give_up "sidecar-$n is not ready"
			sleep 0.2
		done
	done
}
