#!/bin/sh
# Crowds of connections whose bodies or heads never end, or that do not read their
# answers, on all ports that others reach: no process ends, each stays within the
# memory and the descriptors that it is told to use, and callers get answers
# afterwards.  A single body of the largest size is served.
#
# usage: test/cases/crowds.sh BUILD

. "$(dirname "$0")/../lib.sh"
. "$(dirname "$0")/../soak.sh"

options="--front 1 --long 1 --answer-bytes 9000 --target 800ms --budget 4s
	--stops 0 --length 10s --seed 1"

# expect_most RUN FIELD BOUND: fail if the number is above the bound
expect_most() {
	test "$(field "$1" "$2")" -le "$3" ||
		fail "$1: $2 is $(field "$1" "$2"), above $3"
}

# crowd NAME PROXY-KB OPTIONS...: play a crowd; memory is bounded for proxies and,
# as that of an instance that is told nothing, for the core
crowd() {
	local name=$1 kb=$2
	shift 2
	soak "$name" $options "$@"
	for kind in ended killed wrong false_refusals
	do
		expect_field "$name" "$kind" 0
	done
	expect_most "$name" peak_kb "$kb"
	expect_most "$name" core_peak_kb 163840
	test "$(field "$name" whole_after_crowd)" -gt 0 ||
		fail "$name: callers got no answers afterwards"
}

crowd untold 163840 --load 0.2 --crowd 180 --crowd-bytes 3000000
crowd told 49152 --load 0.2 --crowd 180 --crowd-bytes 30000000 --memory-mb 48
crowd small-chunks 49152 --load 0.2 --crowd 60 --crowd-bytes 300000 \
	--crowd-chunk 1 --memory-mb 48
crowd unread 24576 --load 0.2 --crowd 600 --crowd-kind unread \
	--crowd-bytes 300000 --memory-mb 24
crowd descriptors 163840 --load 0.2 --crowd 400 --crowd-kind heads \
	--crowd-bytes 60 --descriptors 192
expect_most descriptors peak_fds 184
crowd single 163840 --link-rate 1000Mbit --load 0.002 --crowd 1 \
	--crowd-kind whole --crowd-bytes 67108864 --memory-mb 160
expect_field single crowd_served 1
