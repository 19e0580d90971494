#!/bin/sh
# Both programs of the platform start with each form of a number and a time that
# its settings may have, and refuse, with the key and the line, what is none.
#
# usage: test/cases/platform-settings.sh BUILD

. "$(dirname "$0")/../lib.sh"
top=$(cd "$(dirname "$0")/../.." && pwd)

# render PROGRAM GRACE MEMORY RATE: write the settings file of a program
render() {
	sed -e 's/{{[#\/][a-z_.]*}}//g' \
		-e "s|{{node_name}}|node|; s|{{zone}}|za|; s|{{region}}|ra|" \
		-e "s|{{ip}}|$net.1|g; s|{{listen.control}}|$net.1:8620|" \
		-e "s|{{listen.outbound}}|$net.1:8629|" \
		-e "s|{{listen.inbound}}|$net.1:8624|" \
		-e "s|{{listen.ready}}|$net.1:8625|; s|{{app_addr}}|$net.1:8628|" \
		-e "s|{{internal_ports.0}}|7600|; s|{{internal_ports.1}}|7601|" \
		-e "s|{{data_dir}}|$work/data|; s|{{service}}|stock|" \
		-e "s|{{bounds.grace}}|$2|; s|{{limits.memory_mb}}|$3|" \
		-e "s|{{limits.max_fds}}|$3|; s|{{limits.link_mbps}}|$4|" \
		-e "s|{{seeds.json}}|[\"$net.1:8620\"]|" \
		-e "s|{{bootstrap.json}}|true|; s|{{fault_tolerance.machines}}|7|" \
		"$top/deploy/$1.toml.in" >"$work/$1.toml"
}

listens() {
	curl -s -o /dev/null -m 1 "http://$net.1:$1/"
}

# expect_start PORT PROGRAM VALUES...: fail unless the program serves the port
expect_start() {
	local port=$1 program=$2
	shift 2
	render "$program" "$@"
	start_in "$top" "$program" "$build/caraway-$program" \
		--settings "$work/$program.toml"
	poll "$program with $*" listens "$port"
	crash "$program"
}

# expect_refusal PROGRAM KEY VALUES...: fail unless KEY is refused
expect_refusal() {
	local program=$1 key=$2
	shift 2
	render "$program" "$@"
	(cd "$top" && "$build/caraway-$program" \
		--settings "$work/$program.toml") >"$work/$program.log" 2>&1
	test $? = 2 || fail "$program started with $*"
	grep -q "$program.toml:[0-9]*: .*$key" "$work/$program.log" ||
		fail "$program does not name $key: $(cat "$work/$program.log")"
}

for grace in 6s 6.5s 6.0s 2.5s 0.8s 6500ms 6500.0ms
do
	expect_start 8620 core $grace 256 1000.0
	expect_start 8629 proxy $grace 256 1000.0
done
expect_start 8620 core 6s 256.0 2.4
expect_start 8629 proxy 6s 256.0 2.4
for program in core proxy
do
	for grace in 6 6,5s "6.5 days" -6s 0s 1.2.3s 0x6s ""
	do
		expect_refusal $program $program.grace "$grace" 256 1000.0
	done
	expect_refusal $program $program.memory_mb 6s 256.5 1000.0
done
