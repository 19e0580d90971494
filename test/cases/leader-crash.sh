#!/bin/sh
# The leading source is killed between two submissions: neither is lost, a
# submission sent again has its first outcome, and the killed source rejoins
# with the whole history.
#
# usage: test/cases/leader-crash.sh BUILD

. "$(dirname "$0")/../lib.sh"
. "$(dirname "$0")/../mesh.sh"

small_mesh
submit_change 1 --id before
before=$version
killed=$(leader)
crash "$killed"
poll "another leader than $killed" other_leader "$killed"
submit_change 2
after=$version
test "$after" -gt "$before" || fail "$after is not above $before"
submit_change 1 --id before
test "$version" = "$before" ||
	fail "sent again: version $version, at first $before"
poll "version $after everywhere" in_force "$after" $near $far
start_source "$killed"
submit_change 3
poll "version $version everywhere" in_force "$version" $near $far
for v in "$before" "$after" "$version"
do
	ctl history | grep -q "^ *$v " || fail "version $v is not in the history"
done
expect_no_regression
