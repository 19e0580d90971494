#!/bin/sh
# Daemons ask callers for the key of a team where the configuration has teams, and
# for none where it has no list of teams.  Once the last team is removed, no key is
# known any more.  No key reaches a backend server.
#
# usage: test/cases/team-keys.sh BUILD

. "$(dirname "$0")/../lib.sh"
. "$(dirname "$0")/../mesh.sh"

# submit_teams TEXT: submit the configuration with TEXT before it
submit_teams() {
	{
		printf '%b' "$1"
		cat "$mesh/configuration.toml"
	} >"$mesh/change.toml"
	poll "a change accepted" submitted change.toml submit
	version=$(version_of "$work/submit.json")
	poll "version $version everywhere" in_force "$version" $near $far
}

# answers_with STATUS DAEMON KEY: whether a call with KEY, or with none if it is
# empty, is answered with STATUS
answers_with() {
	test "$(curl -s -o /dev/null -m 5 -w '%{http_code}' \
		${3:+-H "Authorization:Bearer $3"} \
		"http://$(caller_address "$2")/floor-plans?id=k$$")" = "$1"
}

# expect_keys KEY-ONE KEY-TWO OTHER NONE: the status for each, at both daemons
expect_keys() {
	local name
	for name in $near $far
	do
		answers_with "$1" $name key-one || fail "key-one: not $1"
		answers_with "$2" $name key-two || fail "key-two: not $2"
		answers_with "$3" $name never || fail "unknown key: not $3"
		answers_with "$4" $name "" || fail "no key: not $4"
	done
}

one='[[teams]]\nname = "one"\nkeys = ["key-one"]\n'
two='[[teams]]\nname = "two"\nkeys = ["key-two"]\n'

small_mesh
submit_teams "$one$two"
expect_keys 200 200 401 401
submit_teams "$two"
expect_keys 401 200 401 401
submit_teams "teams = []\n"
expect_keys 401 401 401 401
for name in $near $far
do
	curl -s "http://$(backend_address $name)/_counts" |
		grep -q '"team_keys":0,' || fail "a key reached $name"
done
submit_teams ""
expect_keys 200 200 200 200
