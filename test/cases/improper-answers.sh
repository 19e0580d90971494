#!/bin/sh
# Backend servers send improper answers, refuse requests and write refusals once
# more, while proxies are stopped, killed and started again: no caller gets what is
# none of HTTP/1 or not its own, no order that has run is refused as not run, and
# none runs twice.
#
# usage: test/cases/improper-answers.sh BUILD

. "$(dirname "$0")/../lib.sh"
. "$(dirname "$0")/../soak.sh"

options="--front 8 --long 6 --improper 4 --answer-bytes 9000 --load 0.5
	--target 800ms --budget 4s --stops 2 --length 24s"

soak calm $options --seed 1
soak troubled $options --seed 12 --freezes --crashes
for run in calm troubled
do
	test "$(field $run improper)" -gt 500 || fail "$run: too few improper"
	test "$(field $run refusals_again)" -gt 50 || fail "$run: too few again"
	test "$(field $run whole)" -gt 2000 || fail "$run: too few answers"
	grep -E "WRONG|REFUSED|twice" "$work/$run.err"
	for kind in wrong false_refusals twice cut killed ended
	do
		expect_field $run $kind 0
	done
done
rm -rf "$work"
