#!/bin/sh
# Roll-outs while proxies and instances of the core are stopped and killed: a
# good version gets all calls in time, a bad one is taken back while it has a
# small share.
#
# usage: test/cases/rollout.sh BUILD

. "$(dirname "$0")/../lib.sh"
. "$(dirname "$0")/../soak.sh"

options="--front 8 --long 6 --load 0.5 --answer-bytes 9000
	--target 800ms --budget 4s --length 18s --rollout 12s"

soak good $options --stops 0.5 --seed 1
expect_field good last_old 0
test "$(field good last_target)" -gt 100 || fail "the target got few calls"
grep -hq 'rollout .*state=completed' "$work"/good/core-*.log ||
	fail "the roll-out was not completed"

soak bad $options --bad-version --stops 0.5 --crashes --seed 2
expect_field bad last_target 0
expect_field bad rollout_late 0
runs=$(field bad rollout_runs)
test "$(field bad rollout_target)" -le $((runs / 10 + 50)) ||
	fail "the bad version got $(field bad rollout_target) of $runs calls"
grep -hq 'rollout .*state=rolled-back' "$work"/bad/core-*.log ||
	fail "the roll-out was not rolled back"

for run in good bad
do
	expect_field $run rollout_ordered 1
	expect_field $run cut 0
	expect_field $run killed 0
	expect_field $run twice 0
done
