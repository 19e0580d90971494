#!/bin/sh
# The relay of a daemon falls silent: the daemon answers a path that it does not
# know with "not run, try again", as the route may have been added meanwhile,
# goes on with what it has, and answers 404 again once it hears the relay.  With
# a second relay it moves on, and has the next version within 2 s of the silence.
#
# usage: test/cases/silent-relay.sh BUILD

. "$(dirname "$0")/../lib.sh"
. "$(dirname "$0")/../mesh.sh"

# unknown STATUS CODE: whether the near daemon answers an unknown path so
unknown() {
	curl -s -m 2 -D "$work/head" -o "$work/body" \
		"http://$(caller_address $near)/no-such-path"
	grep -q "^HTTP/1.1 $1" "$work/head" &&
		grep -q "^X-Caraway-Result: $2" "$work/head"
}

small_mesh
poll "certainty" unknown 404 601
send STOP andina-1-r1
sleep 0.3
unknown 404 601 || fail "a pause of 300 ms made the version doubtful"
sleep 0.9
unknown 503 622 || fail "certain 1.2 s after the relay fell silent"
grep -qi '^Retry-After: ' "$work/head" || fail "no time to return is named"
serves $near /floor-plans || fail "a known route is not served"
send CONT andina-1-r1
poll "certainty again" unknown 404 601

start_relay andina-1-r2
sleep 1
upstream=$(awk '$3 == 5002 { r = $5 } END { print r }' "$mesh/log/$near.log")
send STOP "${upstream#peer=}"
submit_change 1
sleep 1.5
in_force "$version" $near || fail "version $version is not in force in time"
grep -q " 5003 upstream-lost code=206 " "$mesh/log/$near.log" ||
	fail "no line tells that the relay was left"
curl -s "http://$(setting "$mesh/daemons/$near.toml" metrics address)/metrics" |
	grep -q '^caraway_upstreams_silent_total [1-9]' ||
	fail "the counter of silent relays"
send CONT "${upstream#peer=}"
expect_no_regression
