#!/bin/sh
# Backend servers state limits and departures while proxies are stopped, frozen,
# killed and started again: none gets more than its limit allows, and none gets
# a request after its departure was told.
#
# usage: test/cases/stated-limits.sh BUILD

. "$(dirname "$0")/../lib.sh"
. "$(dirname "$0")/../soak.sh"

options="--front 8 --long 6 --limits --answer-bytes 9000 --load 0.5
	--target 800ms --budget 4s --stops 2"

# By a third of what is stated, too many requests come.
soak broken $options --seed 2 --length 18s --judged-share 0.3
test "$(field broken limit_broken)" -gt 0 || fail "the excess was not detected"

soak calm $options --seed 1 --length 24s
soak troubled $options --seed 12 --length 24s --freezes --crashes
for run in calm troubled
do
	test "$(field $run limited)" -gt 300 || fail "$run: limits were not used"
	test "$(field $run whole)" -gt 3000 || fail "$run: too few answers"
	grep -E "LIMIT|DRAIN" "$work/$run.err"
	for kind in limit_broken drain_broken cut wrong killed ended
	do
		expect_field $run $kind 0
	done
done
test "$(field troubled departures)" -gt 0 || fail "none has left"
