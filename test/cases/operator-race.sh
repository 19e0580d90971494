#!/bin/sh
# Two operators submit at the same time on the same base version: exactly one
# is accepted, the other gets a conflict that names the current version.
#
# usage: test/cases/operator-race.sh BUILD

. "$(dirname "$0")/../lib.sh"
. "$(dirname "$0")/../mesh.sh"

CONFLICT=4 # exit status of carawayctl

small_mesh
base=$first
for round in 1 2 3 4 5
do
	for racer in a b
	do
		write_change "$round-$racer"
		cp "$mesh/change.toml" "$mesh/$racer.toml"
		ctl --json --base "$base" submit $racer.toml \
			>"$work/$racer.json" 2>&1 &
		eval "pid_$racer=$!"
	done
	wait "$pid_a"
	status_a=$?
	wait "$pid_b"
	status_b=$?
	case $status_a/$status_b in
	0/$CONFLICT) winner=a loser=b ;;
	$CONFLICT/0) winner=b loser=a ;;
	*) fail "round $round: exit statuses $status_a and $status_b" ;;
	esac
	base=$(version_of "$work/$winner.json")
	grep -q "current version $base\$" "$work/$loser.json" ||
		fail "the loser was not told version $base"
done
