#!/bin/sh
# Both programs of the platform start with each form of a number and a time that
# its settings may have, and refuse, with the key and the line, what is none.
#
# usage: test/cases/platform-settings.sh BUILD

. "$(dirname "$0")/../lib.sh"
. "$(dirname "$0")/../platform_programs.sh"

# settle PROGRAM GRACE MEMORY RATE: write the settings file of a program
settle() {
	render "$1" 1 "$(seed_list 1)" "s|{{bounds.grace}}|$2|
		s|{{limits.memory_mb}}|$3|; s|{{limits.max_fds}}|$3|
		s|{{limits.link_mbps}}|$4|; s|{{fault_tolerance.machines}}|7|"
}

listens() {
	curl -s -o /dev/null -m 1 "http://$net.1:$1/"
}

# expect_start PORT PROGRAM VALUES...: fail unless the program serves the port
expect_start() {
	local port=$1 program=$2
	shift 2
	settle "$program" "$@"
	launch "$program" 1
	poll "$program with $*" listens "$port"
	crash "$program-1"
}

# expect_refusal PROGRAM KEY VALUES...: fail unless KEY is refused
expect_refusal() {
	local program=$1 key=$2 log=$work/refusal.log
	shift 2
	settle "$program" "$@"
	(cd "$top" && "$build/caraway-$program" \
		--settings "$work/$program-1.toml") >"$log" 2>&1
	test $? = 2 || fail "$program started with $*"
	grep -q "$program-1.toml:[0-9]*: .*$key" "$log" ||
		fail "$program does not name $key: $(cat "$log")"
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
