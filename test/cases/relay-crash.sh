#!/bin/sh
# The relay that a daemon is connected to is killed: the daemon gets the next
# version from the other relay, and calls that enter at it are still answered,
# none wrongly.
#
# usage: test/cases/relay-crash.sh BUILD

. "$(dirname "$0")/../lib.sh"
. "$(dirname "$0")/../mesh.sh"

small_mesh
start_relay andina-1-r2
crash andina-1-r1
submit_change 1
poll "version $version everywhere" in_force "$version" $near $far
call $near after --call GET,/floor-plans,1 --call GET,/bookings,1 \
	--rate 200 --count 100
expect_harmless after
test "$(field after answered)" -ge 95 || fail "too few answers"
expect_no_regression
