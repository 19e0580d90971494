# Processes of one shell case: started by name, ended by pid, polled for
# readiness.  Sourced; the case's first argument is the build folder.

build=$1
net=${TEST_NET:-127.0.0}
case_name=$(basename "$0" .sh)
work=$build/test/work/$case_name

rm -rf "$work"
mkdir -p "$work"
build=$(cd "$build" && pwd)
work=$(cd "$work" && pwd)

# fail TEXT: end the case
fail() {
	echo "$case_name: $1" >&2
	exit 1
}

# start NAME COMMAND...: run in the background, with output in $work
start() {
	name=$1
	shift
	"$@" >"$work/$name.out" 2>"$work/$name.err" &
	echo $! >"$work/$name.pid"
}

# pid NAME: the process that was started under this name
pid() {
	cat "$work/$1.pid"
}

# send SIGNAL NAME
send() {
	kill "-$1" "$(pid "$2")" 2>/dev/null
}

# wait_end NAME: wait for a process to end, and forget it
wait_end() {
	wait "$(pid "$1")"
	status=$?
	rm -f "$work/$1.pid"
	return $status
}

# stop NAME: a graceful stop
stop() {
	send TERM "$1"
	wait_end "$1"
}

# crash NAME: a stop without warning
crash() {
	send KILL "$1"
	wait_end "$1" 2>/dev/null
	return 0
}

# poll TEXT COMMAND...: until the command succeeds, 8 s at most
poll() {
	what=$1
	shift
	tries=0
	until "$@" >/dev/null 2>&1
	do
		tries=$((tries + 1))
		test $tries -lt 160 || fail "not seen in time: $what"
		sleep 0.05
	done
}

# listening IP:PORT
listening() {
	grep -q " $(hex_address "$1") 00000000:0000 0A" /proc/net/tcp
}

# hex_address IP:PORT: as the kernel lists it
hex_address() {
	echo "$1" | {
		IFS=.: read -r a b c d port
		printf '%02X%02X%02X%02X:%04X' "$d" "$c" "$b" "$a" "$port"
	}
}

# wait_port IP:PORT: until something listens there
wait_port() {
	poll "a listener at $1" listening "$1"
}

# field FILE NAME: a number from $work/FILE.json
field() {
	sed -n "s/.*\"$2\":\([0-9]*\).*/\1/p" "$work/$1.json"
}

# expect_field FILE NAME VALUE
expect_field() {
	test "$(field "$1" "$2")" = "$3" ||
		fail "$1: $2 is $(field "$1" "$2"), not $3"
}

cleanup() {
	for file in "$work"/*.pid
	do
		test -e "$file" || continue
		kill -KILL "$(cat "$file")" 2>/dev/null
	done
}
trap cleanup EXIT
trap 'exit 1' INT TERM
