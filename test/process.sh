# Functions to start processes by name, to end them by pid and to poll for a
# condition.  To be sourced by sh; $work is the folder of their output and pid
# files, and $case_name is the prefix of messages.

# fail TEXT: print a message and end the case as failed
fail() {
	echo "$case_name: $1" >&2
	exit 1
}

# start NAME COMMAND...: run a command in the background, with its output in
# $work/NAME.out and $work/NAME.err
start() {
	start_in . "$@"
}

# start_in FOLDER NAME COMMAND...: the same in another folder
start_in() {
	local folder=$1 name=$2
	shift 2
	(cd "$folder" && exec "$@") >>"$work/$name.out" 2>>"$work/$name.err" &
	echo $! >"$work/$name.pid"
}

# pid NAME: print the pid of the process started under this name
pid() {
	cat "$work/$1.pid"
}

# send SIGNAL NAME: send a signal to a process
send() {
	kill "-$1" "$(pid "$2")" 2>/dev/null
}

# wait_end NAME: wait for a process to end, remove its pid file and return its
# exit status
wait_end() {
	local status
	wait "$(pid "$1")"
	status=$?
	rm -f "$work/$1.pid"
	return $status
}

# stop NAME: stop a process gracefully and return its exit status
stop() {
	send TERM "$1"
	wait_end "$1"
}

# crash NAME: kill a process
crash() {
	send KILL "$1"
	wait_end "$1" 2>/dev/null
	return 0
}

# poll TEXT COMMAND...: run the command until it succeeds; fail after 8 s
poll() {
	local what=$1 end
	shift
	end=$(($(date +%s) + 8))
	until "$@" >/dev/null 2>&1
	do
		test "$(date +%s)" -le $end || fail "timed out: $what"
		sleep 0.05
	done
}

# listening IP:PORT: whether a process listens on the port
listening() {
	grep -q " $(hex_address "$1") 00000000:0000 0A" /proc/net/tcp
}

# hex_address IP:PORT: print the address as in /proc/net/tcp
hex_address() {
	echo "$1" | {
		IFS=.: read -r a b c d port
		printf '%02X%02X%02X%02X:%04X' "$d" "$c" "$b" "$a" "$port"
	}
}

# wait_port IP:PORT: wait until a process listens on the port
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
