#!/bin/sh
# The stand-ins detect wrong answers: the caller finds no fault in a correct
# backend server and detects each fault of --break.
#
# usage: test/cases/stand-ins.sh BUILD

. "$(dirname "$0")/../lib.sh"

# run_caller FAULT: run a caller at a backend server with that fault
run_caller() {
	start backend-$1 "$build/backend" --address "$net.9:9000" \
		--service stock --break "$1" $2
	wait_port "$net.9:9000"
	"$build/caller" --daemon "$net.9:9000" --backend "$net.9:9000" \
		--call GET,/stock,1 --call POST,/orders,1 --rate 1000 \
		--count 200 --name "$1" >"$work/$1.json"
	cat "$work/$1.json"
	stop backend-$1
}

run_caller none
expect_field none answered 200
expect_field none double_runs 0

run_caller wrong-id
test "$(field wrong-id wrong_or_short_answers)" -gt 100 ||
	fail "answers of other requests were not detected"

run_caller short
expect_field short wrong_or_short_answers 200

run_caller twice
test "$(field twice double_runs)" -gt 50 || fail "double runs were not detected"

# Downloads through a link that is cut and healed are complete.
start download "$build/backend" --address "$net.9:9000" --service firmware \
	--download-bytes 200000
start link "$build/link" --control "$net.8:9001" --delay 2ms --rate 30 \
	--map "a,b,$net.8:9000,$net.9:9000"
wait_port "$net.9:9000"
wait_port "$net.8:9001"
start caller "$build/caller" --daemon "$net.8:9000" \
	--backend "$net.9:9000" --call GET,/firmware,1 --rate 20 --count 10 \
	--deadline 5s
sleep 0.2
"$build/link" --control "$net.8:9001" --command cut
sleep 0.2
"$build/link" --control "$net.8:9001" --command heal
wait_end caller
cp "$work/caller.out" "$work/cut.json"
cat "$work/cut.json"
expect_field cut answered 10
