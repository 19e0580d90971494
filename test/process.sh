# Processes started by name and ended by pid, and polling for readiness.
# Sourced, in sh; $work is the folder for their output and pid files, and
# $case_name goes before messages.

# fail TEXT: end the case
fail() {
	echo "$case_name: $1" >&2
	exit 1
}

# start NAME COMMAND...: run in the background, with output in $work
start() {
	start_in . "$@"
}

# start_in FOLDER NAME COMMAND...: the same, in another folder
start_in() {
	local folder=$1 name=$2
	shift 2
	(cd "$folder" && exec "$@") >>"$work/$name.out" 2>>"$work/$name.err" &
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
	local status
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
	local what=$1 end
	shift
	end=$(($(date +%s) + 8))
	until "$@" >/dev/null 2>&1
	do
		test "$(date +%s)" -le $end || fail "not seen in time: $what"
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

cleanup() {
	for file in "$work"/*.pid
	do
		test -e "$file" || continue
		kill -KILL "$(cat "$file")" 2>/dev/null
	done
}
trap cleanup EXIT
trap 'exit 1' INT TERM
