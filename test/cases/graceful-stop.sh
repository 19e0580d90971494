#!/bin/sh
# A daemon is stopped gracefully while calls enter at it and others are
# forwarded to it: no request is lost, and its exit status is 0.
#
# usage: test/cases/graceful-stop.sh BUILD

. "$(dirname "$0")/../lib.sh"
. "$(dirname "$0")/../mesh.sh"

small_mesh
await_keys
stop "backend-$far"
start_backend $far --service-time 50ms
wait_port "$(backend_address $far)"
start entering "$build/caller" --daemon "$(caller_address $far)" \
	--home caribe-1 --name entering --call POST,/bookings,1 --rate 100 --count 150
start forwarded "$build/caller" --daemon "$(caller_address $near)" \
	--home caribe-1 --name forwarded --call POST,/bookings,1 --rate 60 --count 90 \
	--backend "$(backend_address $far)"
sleep 0.5
stop $far || fail "exit status $?"
for caller in entering forwarded
do
	wait_end $caller
	cp "$work/$caller.out" "$work/$caller.json"
	cat "$work/$caller.json"
	expect_field $caller lost 0
	expect_field $caller may_have_run 0
	expect_field $caller wrong_or_short_answers 0
	test "$(field $caller answered)" -gt 10 || fail "too few answers"
done
expect_field forwarded double_runs 0
expect_field forwarded false_not_run 0
