#!/bin/sh
# A relay with a wrong key, a relay of another mesh and invalid bytes on the
# control ports are refused; the mesh continues to work.
#
# usage: test/cases/strangers.sh BUILD

. "$(dirname "$0")/../lib.sh"
. "$(dirname "$0")/../mesh.sh"

# foreign_relay NAME: write the settings of a relay that will not belong to the
# mesh, at an unused address
foreign_relay() {
	sed -e "s/caribe-1-r1/$1/" -e "s/\\.21:\\([79]1\\)/.29:\\1/" \
		"$mesh/relays/caribe-1-r1.toml" >"$mesh/relays/$1.toml"
}

# garbage ADDRESS: send bytes that are not a frame, a truncated frame and an
# HTTP request
garbage() {
	head -c 4096 /dev/urandom >"$work/garbage"
	printf '\377\377\377\377' >>"$work/garbage"
	curl -s -m 1 "telnet://$1" <"$work/garbage" >/dev/null
	printf '\000\000' | curl -s -m 1 "telnet://$1" >/dev/null
	curl -s -m 1 "http://$1/" >/dev/null
	return 0
}

# refused CODE: whether a source has logged the result code
refused() {
	grep -h "code=$1\b" "$mesh"/log/s?.log | grep -q ' 200[23] '
}

small_mesh
foreign_relay wrong-key
sed -i 's/mesh\.key/other.key/' "$mesh/relays/wrong-key.toml"
printf '%064d\n' 7 >"$mesh/keys/other.key"
start_relay wrong-key
poll "the wrong key refused" refused 205
stop wrong-key
foreign_relay wrong-mesh
sed -i 's/name = "bucle-andino"/name = "other"/' \
	"$mesh/relays/wrong-mesh.toml"
start_relay wrong-mesh
poll "the other mesh refused" refused 204
stop wrong-mesh
for address in "$(setting "$mesh/sources/s1.toml" source address)" \
	"$(setting "$mesh/relays/andina-1-r1.toml" relay address)"
do
	garbage "$address"
done
submit_change 1
poll "version $version everywhere" in_force "$version" $near $far
call $near after --call GET,/floor-plans,1 --rate 100 --count 20
expect_field after answered 20
for name in s1 s2 s3 andina-1-r1 caribe-1-r1 $near $far
do
	kill -0 "$(pid "$name")" || fail "$name has ended"
done
