# Functions of the scripts of this review, which are run in the folder of the
# repository.  Each starts a small deployment of its own: three cores and two
# proxies, unless the script names others, each with a loopback address of its own.

work=$(mktemp -d)
net=127.$((64 + $$ % 128)).$(($$ / 128 % 256))
stand_in=target/review-3/stand_in
record=review/$case/record.txt
pids=
cores="1 2 3"
sides=${sides:-"11 12"}
seeds="[\"$net.1:8620\", \"$net.2:8620\", \"$net.3:8620\"]"
born=$(date +%s%3N)

# finish STATUS: end all processes that were started, and the script
finish() {
	trap - EXIT INT TERM
	for pid in $pids
	do
		kill -CONT "$pid" 2>/dev/null
		kill -KILL "$pid" 2>/dev/null
	done
	wait 2>/dev/null
	rm -rf "$work"
	exit "$1"
}

# note TEXT...: write a line to the record
note() {
	echo "$(date +%s.%3N | cut -c6-) $*" >>"$record"
}

# cannot TEXT...: end as a case that could not run
cannot() {
	note "could not run: $*"
	echo "could not run: $*" >&2
	finish 2
}

# render TEMPLATE HOST SERVICE: write the settings file of an instance
render() {
	sed -e 's/{{[#\/][a-z_.]*}}//g' \
		-e "s|{{node_name}}|node-$2|; s|{{zone}}|zone-a|; s|{{region}}|region-a|" \
		-e "s|{{ip}}|$net.$2|g; s|{{listen.control}}|$net.$2:8620|" \
		-e "s|{{listen.outbound}}|$net.$2:8629|; s|{{listen.inbound}}|$net.$2:8624|" \
		-e "s|{{listen.ready}}|$net.$2:8625|; s|{{app_addr}}|$net.$2:8628|" \
		-e "s|{{internal_ports.0}}|7600|; s|{{internal_ports.1}}|7601|" \
		-e "s|{{data_dir}}|$work/data-$2|; s|{{service}}|$3|" \
		-e "s|{{bounds.grace}}|${grace:-6s}|; s|{{limits.memory_mb}}|260|" \
		-e "s|{{limits.max_fds}}|4100|; s|{{limits.link_mbps}}|1000.0|" \
		-e "s|{{seeds.json}}|$seeds|; s|{{bootstrap.json}}|true|" \
		-e "s|{{fault_tolerance.machines}}|1|" \
		"deploy/$1.toml.in" >"$work/$1-$2.toml"
}

# start PROGRAM HOST SERVICE: start an instance
start() {
	render "$1" "$2" "$3"
	launch "$1" "$2"
}

# launch PROGRAM HOST: start an instance whose settings file has been written
launch() {
	"target/caraway-$1" --settings "$work/$1-$2.toml" >"$work/$1-$2.log" 2>&1 &
	pids="$pids $!"
}

# beat: send one heartbeat of each backend server
beat() {
	sequence=$((${sequence:-0} + 1))
	for i in $sides
	do
		printf '{"service":"%s","address":"%s","zone":"zone-a","version":"v1","slots":10,"state":"ready","cold_left":"0ms","sequence":%d,"born":%d}' \
			"$(service_of "$i")" "$net.$i:8628" $sequence "$born" |
			$stand_in call "$net.$i" 8620 POST "/v1/instances/i-$i/heartbeat" \
				"Host: control" >/dev/null
	done
}

# operate METHOD PATH [FIELD...]: call the operators' API as an operator does, at
# one core after the other until there is a clear answer; prints status and body
operate() {
	: >"$work/body"
	test "$1" != POST || cat >"$work/body"
	for attempt in 1 2 3 4 5 6 7 8 9 10 11 12 13 14 15 16 17 18 19 20
	do
		for i in $cores
		do
			answer=$($stand_in call "$net.$i" 8620 "$@" "Host: control" <"$work/body")
			case $answer in
			200* | 400* | 412*)
				echo "$answer"
				return 0
				;;
			esac
		done
		sleep 0.1
	done
	return 1
}

# service_of HOST: print the service of an instance
service_of() {
	echo svc
}

# backend_options HOST: print further arguments of a backend server
backend_options() {
	:
}

# begin: check what is needed, start the deployment, with its backend servers
begin() {
	: >"$record"
	trap 'finish 2' EXIT INT TERM
	for program in target/caraway-core target/caraway-proxy $stand_in
	do
		test -x $program || cannot "$program is not built"
	done
	for i in $cores
	do
		start core "$i" none
	done
	for i in $sides
	do
		start proxy "$i" "$(service_of "$i")"
		$stand_in backend "$net.$i" 8628 "$work/backend-$i" $(backend_options "$i") &
		pids="$pids $!"
	done
}
