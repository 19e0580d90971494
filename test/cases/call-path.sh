#!/bin/sh
# The path of a call through real processes: refusals of invalid requests, keys,
# a backend server that dies, a download that resumes, a slow sender, a frozen
# peer and a graceful stop.
#
# usage: test/cases/call-path.sh BUILD

. "$(dirname "$0")/../lib.sh"
MESH_NET=${net%.*}
top=$(cd "$(dirname "$0")/../.." && pwd)
. "$top/bench/mesh.sh"

# begin: start four daemons with their backend servers and wait until they
# answer calls
begin() {
	local name
	mesh_prepare bucle-andino
	for name in $(names daemons)
	do
		case $name in
		floor-plans-1 | scheduling-1 | firmware-1 | firmware-2) ;;
		*) rm "$mesh/daemons/$name.toml" ;;
		esac
	done
	start_link 1ms 1000
	for name in $(names sources)
	do
		start_source "$name"
	done
	for name in $(names relays)
	do
		start_relay "$name"
	done
	start_backend floor-plans-1 --service-time 1ms
	start_backend scheduling-1 --service-time 300ms
	start_backend firmware-1 --download-bytes 30000000
	start_backend firmware-2 --download-bytes 30000000
	for name in $(names daemons)
	do
		start_daemon "$name"
	done
	poll "the configuration accepted" \
		submitted configuration.toml submit --id first
	for name in $(names daemons)
	do
		poll "floor plans through $name" serves "$name" /floor-plans
		poll "firmware through $name" \
			fetches "$name" /firmware/probe
	done
	home=$(data_centre scheduling-1)
	poll "a keyed call" booked floor-plans-1
}

# fetches DAEMON PATH: whether a download that enters at the daemon succeeds
fetches() {
	curl -s -f -o /dev/null -m 5 "http://$(caller_address "$1")$2"
}

now_ms() {
	date +%s%3N
}

n_keys=0

# new_key: set $key to a key issued now, whose home is the data centre of the
# only booking endpoint
new_key() {
	n_keys=$((n_keys + 1))
	key=$home.$(now_ms).k$$-$n_keys
}

# ask DAEMON OPTIONS... PATH: call a daemon; print status and result code
ask() {
	local at
	at=$(caller_address "$1")
	shift
	eval "path=\${$#}"
	set -- "$@" # the last word is the path, which options removes
	curl -s -m 10 -o "$work/body" -D "$work/head" \
		-w '%{http_code}' $(options "$@") "http://$at$path"
	printf ' %s\n' "$(result)"
}

# options WORDS...: print all words but the last
options() {
	while test $# -gt 1
	do
		echo "$1"
		shift
	done
}

# result: print the result code of the last answer
result() {
	tr -d '\r' <"$work/head" |
		sed -n 's/^X-Caraway-Result: \([0-9]*\).*/\1/p' | tail -n 1
}

# expect WHAT EXPECTED ACTUAL: fail unless the two are equal
expect() {
	test "$2" = "$3" || fail "$1: expected $2, was $3"
	echo "$1: $3"
}

# booked DAEMON: whether a booking under a new key is answered
booked() {
	new_key
	test "$(post "$1" "$key" "id=$key")" = "200 0"
}

# post DAEMON KEY QUERY [BODY]: send a booking; print status and result code
post() {
	ask "$1" -XPOST -d "${4:-x}" -H "Idempotency-Key:$2" "/bookings?$3"
}

# runs KEY: print how often the backend server of bookings ran the key
runs() {
	curl -s "http://$(backend_address scheduling-1)/_counts" |
		grep -o "\"$1\":[0-9]*" | sed 's/.*://' | grep . || echo 0
}

# raw DAEMON TEXT: send TEXT as it is and print the distinct status codes; the
# HTTP library writes the head of some of its own refusals twice
raw() {
	printf "$2" | curl -s -m 2 "telnet://$(caller_address "$1")" |
		tr -d '\r' | sed -n 's/^HTTP[^ ]* \([0-9]*\).*/\1/p' |
		sort -u
}

# total_runs: count the keys and ids that the backend server of floor plans ran
total_runs() {
	curl -s "http://$(backend_address floor-plans-1)/_counts" |
		grep -o '":[0-9]*[,}]' | wc -l
}

# slow_sender: send a request that is never completed
slow_sender() {
	{
		printf 'POST /floor-plans HTTP/1.1\r\nHost: a\r\n'
		printf 'Content-Length: 100\r\n\r\nabc'
		sleep 14
	} | curl -s -m 14 "telnet://$(caller_address scheduling-1)" >/dev/null
}

# connected DAEMON: whether a caller has a connection to the daemon
connected() {
	local at
	at=$(hex_address "$(caller_address "$1")")
	grep -q " $at [0-9A-F]*:[0-9A-F]* 01 " /proc/net/tcp
}

refusals() {
	local old before
	before=$(total_runs)
	expect "no route" "404 601" "$(ask floor-plans-1 /nowhere)"
	grep -q '"next_step"' "$work/body" || fail "the answer has no next step"
	expect "no key" "400 605" "$(ask floor-plans-1 -XPOST /bookings)"
	expect "a key without a time" "400 617" \
		"$(post floor-plans-1 abc id=1)"
	old=$home.$(($(now_ms) - 3600000)).abcd
	expect "a key of an hour ago" "409 606" \
		"$(post floor-plans-1 "$old" id=2)"
	expect "no time left" "503 616" "$(ask floor-plans-1 \
		-HX-Caraway-Time-Left:0 /floor-plans)"
	expect "an invalid time left" "400 610" "$(ask floor-plans-1 \
		-HX-Caraway-Time-Left:soon /floor-plans)"
	head -c 2000000 /dev/zero >"$work/large"
	expect "a large body" "413 609" "$(ask floor-plans-1 -XPOST \
		--data-binary "@$work/large" /floor-plans)"
	expect "a large body in chunks" "413 609" "$(ask floor-plans-1 \
		-XPOST -HTransfer-Encoding:chunked \
		--data-binary "@$work/large" /floor-plans)"
	expect "a length and chunks" 400 "$(raw floor-plans-1 \
'POST /floor-plans HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n')"
	expect "two different lengths" 400 "$(raw floor-plans-1 \
'POST /floor-plans HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nabcdef')"
	expect "a length with a sign" 400 "$(raw floor-plans-1 \
'POST /floor-plans HTTP/1.1\r\nHost: a\r\nContent-Length: +5\r\n\r\nabcde')"
	expect "an unknown transfer coding" 400 "$(raw floor-plans-1 \
'POST /floor-plans HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n')"
	while IFS='|' read -r name request
	do
		expect "$name, and what is behind it" 400 "$(raw floor-plans-1 \
"$request"'GET /floor-plans HTTP/1.1\r\nHost: a\r\n\r\n')"
	done <<-'END'
	a blank in a name|GET /floor-plans HTTP/1.1\r\nHost: a\r\nX A: b\r\n\r\n
	a blank after a name|GET /floor-plans HTTP/1.1\r\nHost: a\r\nX-A : b\r\n\r\n
	a blank after the name of the length|GET /floor-plans HTTP/1.1\r\nHost: a\r\nContent-Length : 4\r\n\r\n
	a control byte in a value|GET /floor-plans HTTP/1.1\r\nHost: a\r\nX-A: b\001c\r\n\r\n
	a method that is no token|G(T /floor-plans HTTP/1.1\r\nHost: a\r\n\r\n
	END
	expect "nothing was run" "$before" "$(total_runs)"
}

keys() {
	new_key
	expect "a booking" "200 0" "$(post floor-plans-1 "$key" id=3)"
	cp "$work/body" "$work/first"
	expect "sent again to another daemon" "200 0" \
		"$(post scheduling-1 "$key" id=3)"
	cmp -s "$work/body" "$work/first" || fail "the answer differs"
	expect "the key with another request" "422 618" \
		"$(post scheduling-1 "$key" id=3 y)"
	expect "it ran" 1 "$(runs "$key")"
	new_key
	post floor-plans-1 "$key" id=4 >/dev/null &
	sleep 0.1
	expect "sent again while it runs" "409 614" \
		"$(post scheduling-1 "$key" id=4)"
	wait $!
	expect "it ran" 1 "$(runs "$key")"
}

# The caller disconnects; the booking still runs to its end, and a repetition
# gets its answer.
late_answer() {
	new_key
	curl -s -m 0.1 -XPOST -d x -H "Idempotency-Key: $key" \
		"http://$(caller_address floor-plans-1)/bookings?id=5"
	sleep 0.6
	expect "the answer that was late" "200 0" \
		"$(post scheduling-1 "$key" id=5)"
	expect "it ran" 1 "$(runs "$key")"
}

backend_dies() {
	local lost
	new_key
	lost=$key
	(
		sleep 0.1
		send KILL backend-scheduling-1
	) &
	expect "the backend server died" "502 607" \
		"$(post floor-plans-1 "$lost" id=6)"
	wait $!
	new_key
	expect "no backend server" "503 612" "$(post floor-plans-1 "$key" id=7)"
	start_backend scheduling-1 --service-time 20ms
	poll "bookings again" booked floor-plans-1
	expect "sent again" "502 607" "$(post floor-plans-1 "$lost" id=6)"
	expect "it did not run again" 0 "$(runs "$lost")"
}

# A download whose daemon dies is resumed at another endpoint, without a wrong
# or missing byte.
download() {
	local at
	at=$(caller_address floor-plans-1)
	curl -s "http://$(backend_address firmware-1)/firmware/a" \
		>"$work/plain"
	curl -s --limit-rate 10000000 "http://$at/firmware/a" \
		>"$work/resumed" &
	sleep 1
	crash "$(serving)"
	wait $! || fail "the download broke off"
	cmp "$work/plain" "$work/resumed" || fail "the download differs"
	echo "a download was resumed at another endpoint"
}

# serving: print the daemon that the download through floor-plans-1 is routed to
serving() {
	sed -n 's/.* routed .*service=firmware endpoint=\([^ ]*\).*/\1/p' \
		"$mesh/log/floor-plans-1.log" | tail -n 1
}

graceful_stop() {
	start stop-caller "$build/caller" --rate 200 --count 300 \
		--deadline 3s --name stop --call GET,/floor-plans,1 \
		--daemon "$(caller_address scheduling-1)"
	sleep 0.4
	stop scheduling-1 || fail "the stop was not graceful"
	wait_end stop-caller
	expect "lost by the stop" 0 "$(sed -n 's/.*"lost":\([0-9]*\).*/\1/p' \
		"$work/stop-caller.out")"
}

# A frozen peer is detected within a second, so that a call to it ends with a
# result code in less than two.
frozen_peer() {
	local from took
	send STOP floor-plans-1
	from=$(now_ms)
	case "$(ask firmware-2 /floor-plans)" in
	"502 607" | "503 602" | "503 612") ;;
	*) fail "a frozen peer: $(cat "$work/head")" ;;
	esac
	took=$(($(now_ms) - from))
	send CONT floor-plans-1
	test $took -lt 2000 || fail "a frozen peer was detected after $took ms"
	echo "a frozen peer was detected"
}

begin
slow_sender &
poll "the slow sender" connected scheduling-1
from=$(now_ms)
refusals
keys
late_answer
backend_dies
download
frozen_peer
while test $(($(now_ms) - from)) -lt 11500
do
	sleep 0.2
done
connected scheduling-1 && fail "a slow sender is still connected"
echo "a slow sender was closed"
graceful_stop
