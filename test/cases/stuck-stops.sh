#!/bin/sh
# A process that is stopped ends within its grace time, even if whatever reads
# its log has stalled, a caller takes no answer, or its loop waits for a file.
#
# usage: test/cases/stuck-stops.sh BUILD

. "$(dirname "$0")/../lib.sh"

top=$(cd "$(dirname "$0")/../.." && pwd)
grace=2s
pipe_bytes=65536
caller=$net.61:9100
heartbeats=$net.61:9103
backend=$net.61:9104
operators=$net.62:9200
source=$net.63:9201

# common NAME: print the settings that all programs have in common
common() {
	cat <<-EOF
	[mesh]
	name = "stuck"
	key_file = "$top/deploy/mesh.key"
	[instance]
	name = "$1"
	data_centre = "dc"
	region = "home"
	[log]
	file = "-"
	level = "info"
	EOF
}

# write_settings: write the settings of a proxy and of an instance of the core
write_settings() {
	{
		common proxy
		cat <<-EOF
		[proxy]
		caller_address = "$caller"
		peer_address = "$net.61:9101"
		beat_address = "$heartbeats"
		grace = "$grace"
		[backend]
		address = "$backend"
		service = "bookings"
		[relays]
		addresses = ["$net.62:9202"]
		EOF
	} >"$work/proxy.toml"
	{
		common core
		cat <<-EOF
		[core]
		operator_address = "$operators"
		source_address = "$net.62:9201"
		relay_address = "$net.62:9202"
		data_folder = "$work/core"
		grace = "$grace"
		[group]
		seeds = ["$operators"]
		first_start = true
		EOF
	} >"$work/core.toml"
	{
		common source
		cat <<-EOF
		[source]
		address = "$source"
		data_folder = "$work/source"
		operators_folder = "$work/operators"
		[replicas]
		names = ["source"]
		addresses = ["$source"]
		EOF
	} >"$work/source.toml"
	mkdir "$work/core" "$work/source" "$work/operators"
}

# start_logging_to_full_pipe NAME: start a program whose log is a pipe that is
# full and that nobody reads
start_logging_to_full_pipe() {
	mkfifo "$work/$1.out"
	start "$1-reader" sh -c "exec sleep 60 <'$work/$1.out'"
	start "$1" sh -c "head -c $pipe_bytes /dev/zero &&
		exec '$build/caraway-$1' --settings '$work/$1.toml'"
}

# post ADDRESS PATH BODY: have an object accepted
post() {
	curl -s -f -m 1 -X POST -H 'X-Base-Version: 00000000' -d "$3" "http://$1$2"
}

# takes_answer: whether the caller has begun to take its answer
takes_answer() {
	test -s "$work/body"
}

# ended NAME: whether a process has ended; one not waited for has no arguments
ended() {
	test -z "$(tr -d '\0' <"/proc/$(pid "$1")/cmdline")"
}

write_settings
for name in proxy core
do
	start_logging_to_full_pipe $name
	case $name in
	proxy) wait_port $caller ;;
	core) wait_port $operators ;;
	esac
	send TERM $name
	poll "the end of $name, whose log is not read" ended $name
	crash $name-reader
done

# A source reads the operators' keys again, one of them from a pipe into which
# nobody writes.
start source "$build/caraway-source" --settings "$work/source.toml"
wait_port "$source"
mkfifo "$work/operators/stuck.key"
send HUP source
send TERM source
poll "the end of a source whose loop waits" ended source
grep -q ' 1010 stop-cut stage=unseen' "$work/source.out" ||
	fail "the source does not log what was left"

# A caller takes a long answer at a few bytes a second.
start backend "$build/backend" --address $backend --service bookings --slots 2 \
	--connections 2 --download-bytes 30000000
start serving-core "$build/caraway-core" --settings "$work/core.toml"
start serving "$build/caraway-proxy" --settings "$work/proxy.toml"
wait_port $backend
poll "a configuration accepted" post $operators /v1/config/replace '{
	"version":"00000001","routes":{"columns":["name","host","path_prefix",
	"kind","timeout","target_latency","priority","attempts","service"],
	"rows":[["r","stuck.example","/","idempotent","30000ms","1000ms",1,1,
	"bookings"]]},"services":{"columns":["name","health_path",
	"max_connections","protocol","tls"],"rows":[["bookings","/health",130,
	"h1",false]]},"limits":{"max_header_bytes":16384,"max_body_bytes":65536,
	"header_timeout":"3000ms","idle_timeout":"15000ms"}}'
poll "a heartbeat accepted" post $heartbeats /v1/instances/i-1/heartbeat "{
	\"service\":\"bookings\",\"address\":\"$backend\",\"zone\":\"dc\",
	\"version\":\"v1\",\"slots\":2,\"state\":\"ready\",
	\"cold_left\":\"0ms\",\"sequence\":1,\"born\":1700000000000}"
start caller curl -s -m 30 --retry 8 --retry-delay 1 --limit-rate 1000 \
	-f -o "$work/body" -H 'Host: stuck.example' "http://$caller/a"
poll "the beginning of the answer" takes_answer
send TERM serving
poll "the end of a proxy whose caller takes no answer" ended serving
grep -q ' 1010 stop-cut stage=requests' "$work/serving.out" ||
	fail "the proxy does not log what was left"
