#!/bin/sh
# A program whose port is in use names the address and the result code, and
# ends with the exit status of that code.
#
# usage: test/cases/port-in-use.sh BUILD

. "$(dirname "$0")/../lib.sh"
. "$(dirname "$0")/../mesh.sh"

UNAVAILABLE=5 # exit status

# expect_taken NAME PROGRAM FOLDER TABLE KEY: occupy the address of that setting
# and start the program
expect_taken() {
	local address
	address=$(setting "$mesh/$3/$1.toml" "$4" "$5")
	start taker "$build/backend" --address "$address"
	wait_port "$address"
	(cd "$mesh" && timeout 5 "$build/$2" --settings "$3/$1.toml") \
		>"$work/$1.txt" 2>&1
	status=$?
	cat "$work/$1.txt"
	test $status = $UNAVAILABLE || fail "$2: exit status $status"
	grep -q "$address" "$work/$1.txt" || fail "$2 does not name $address"
	grep -q "109 port-in-use" "$work/$1.txt" || fail "$2 names no code"
	stop taker
}

mesh_prepare bucle-andino
expect_taken s1 caraway-source sources source address
expect_taken andina-1-r1 caraway-relay relays relay address
expect_taken floor-plans-1 carawayd daemons daemon caller_address
expect_taken floor-plans-1 carawayd daemons daemon peer_address
