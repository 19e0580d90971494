#!/bin/sh
# Proxies and instances of the core are stopped and restarted in overlapping
# series, with changes of configuration, while long answers nearly fill the
# links: no request that a stopping proxy has read ends without an answer.
#
# usage: test/cases/planned-stops.sh BUILD

. "$(dirname "$0")/../lib.sh"
. "$(dirname "$0")/../soak.sh"

options="--front 24 --long 8 --load 1.4 --stops 4 --target 500ms"

# A process that is killed in the middle of its stop cuts requests.
soak broken $options --seed 1 --length 4s --kill-after 500ms
test "$(field broken cut)" -gt 0 || fail "cut requests were not detected"

for run in stops short
do
	case $run in
	stops) least=1000; soak stops $options --seed 3 --length 30s ;;
	short) least=300; soak short $options --seed 5 --length 8s --grace 2s --load 1.0 ;;
	esac
	test "$(field $run stops)" -gt 10 || fail "$run: too few stops"
	test "$(field $run whole)" -gt "$least" || fail "$run: too few answers"
	grep CUT "$work/$run.err"
	for kind in cut wrong killed ended heartbeats_cut orders_cut
	do
		expect_field $run $kind 0
	done
done
