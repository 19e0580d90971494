# Runs a deployment of examples/ on this machine, with an address for each
# instance and with stand-ins for the backend servers and for the link between
# the regions.  To be sourced by sh after test/process.sh; needs $build, $work
# and $top, the root of the checkout.
#
# mesh_net holds the first two octets of all addresses.

mesh_net=${MESH_NET:-127.50}
mesh=$work/mesh

# mesh_prepare NAME: copy the settings of examples/NAME, with the addresses of
# this run and new keys
mesh_prepare() {
	local operator
	mesh_name=$1
	rm -rf "$mesh"
	mkdir -p "$mesh"
	cp -R "$top/examples/$mesh_name/." "$mesh"
	find "$mesh" -name '*.toml' -exec \
		sed -i "s/\"127\\.50\\./\"$mesh_net./" {} +
	operator=$(setting "$mesh/carawayctl.toml" operator name)
	"$top/examples/make-keys.sh" "$mesh" "$operator"
	control=$mesh_net.9.9:9009
}

# setting FILE TABLE KEY: print a string or number of a settings file
setting() {
	awk -v table="[$2]" -v key="$3" '
		/^\[/ { here = $0 == table }
		here && $1 == key { gsub(/"/, "", $3); print $3; exit }' "$1"
}

# names KIND: list the instances with settings in the folder KIND
names() {
	local file
	for file in "$mesh/$1"/*.toml
	do
		basename "$file" .toml
	done
}

# names_in REGION KIND: list the instances of one region with settings in the
# folder KIND
names_in() {
	local name
	for name in $(names "$2")
	do
		test "$(setting "$mesh/$2/$name.toml" instance region)" = "$1" &&
			echo "$name"
	done
}

regions() {
	local name
	for name in $(names relays)
	do
		setting "$mesh/relays/$name.toml" instance region
	done | uniq | sort -u
}

data_centres() {
	local name
	for name in $(names relays)
	do
		setting "$mesh/relays/$name.toml" instance data_centre
	done | sort -u
}

# link_maps: print the --map options, which relay each external address from
# the other region
link_maps() {
	local file here pair table keys to at from
	for file in "$mesh"/sources/*.toml "$mesh"/relays/*.toml \
		"$mesh"/daemons/*.toml
	do
		here=$(setting "$file" instance region)
		for pair in source.address.external_address \
			relay.address.external_address \
			daemon.peer_address.external_peer_address
		do
			table=${pair%%.*}
			keys=${pair#*.}
			to=$(setting "$file" "$table" "${keys%.*}")
			at=$(setting "$file" "$table" "${keys#*.}")
			test -n "$at" || continue
			for from in $(regions)
			do
				test "$from" = "$here" ||
					echo "--map $from,$here,$at,$to"
			done
		done
	done
}

# start_link DELAY MBIT-PER-S: start the link between the regions
start_link() {
	start link "$build/link" --control "$control" --delay "$1" \
		--rate "$2" $(link_maps)
	wait_port "$control"
}

# link_command COMMAND: send a command to the link
link_command() {
	"$build/link" --control "$control" --command "$1"
}

start_source() {
	start_in "$mesh" "$1" "$build/caraway-source" \
		--settings "sources/$1.toml"
}

start_relay() {
	start_in "$mesh" "$1" "$build/caraway-relay" \
		--settings "relays/$1.toml"
}

start_daemon() {
	start_in "$mesh" "$1" "$build/carawayd" --settings "daemons/$1.toml"
}

# start_backend DAEMON OPTIONS...: start the backend server of a daemon
start_backend() {
	local name=$1 file=$mesh/daemons/$1.toml
	shift
	start "backend-$name" "$build/backend" \
		--address "$(setting "$file" backend address)" \
		--service "$(setting "$file" backend service)" \
		--slots "$(setting "$file" backend slots)" \
		--connections "$(setting "$file" backend connections)" "$@"
}

# caller_address DAEMON, data_centre DAEMON, backend_address DAEMON: print a
# setting of a daemon
caller_address() {
	setting "$mesh/daemons/$1.toml" daemon caller_address
}

data_centre() {
	setting "$mesh/daemons/$1.toml" instance data_centre
}

backend_address() {
	setting "$mesh/daemons/$1.toml" backend address
}

# ctl ARGUMENTS: run carawayctl with the operator's settings
ctl() {
	(cd "$mesh" && "$build/carawayctl" --settings carawayctl.toml \
		--timeout 4 "$@")
}

# leader: print the name of the leading source
leader() {
	ctl --json status 2>/dev/null |
		sed -n 's/.*"leader": *"\([^"]*\)".*/\1/p'
}

# version_of OUTPUT-FILE: print the version that a submission was accepted as
version_of() {
	sed -n 's/.*"version": *\([0-9]*\).*/\1/p' "$1" | head -n 1
}

# submitted FILE COMMAND OPTIONS...: whether carawayctl COMMAND FILE is accepted
submitted() {
	local file=$1 command=$2
	shift 2
	ctl --json "$@" "$command" "$file" >"$work/submit.json" \
		2>"$work/submit.err"
}

# accepted_as ID: whether $mesh/change.toml is accepted.  To be called until it
# succeeds: while the outcome is unknown, it submits under the same id; after a
# conflict, which is the final outcome of that id, it takes a new one.
accepted_as() {
	local status
	submitted change.toml submit --id "$1${attempt:+-$attempt}"
	status=$?
	test $status = 4 && attempt=$((${attempt:-0} + 1))
	return $status
}

# in_force VERSION NAME...: whether all these daemons have put VERSION or a
# later one in force
in_force() {
	local wanted=$1
	shift
	applied_lines "$@" | awk -v wanted="$wanted" -v daemons=$# '
		match($0, /version=[0-9]+/) &&
		substr($0, RSTART + 8, RLENGTH - 8) + 0 >= wanted { there[$2] }
		END { for (d in there) n++; exit n != daemons }'
}

# applied_lines NAME...: print the log lines about versions put in force
applied_lines() {
	local name
	for name
	do
		echo "$mesh/log/$name.log"
	done | xargs grep -h ' 3001 config-applied ' 2>/dev/null
}

# applied_version DAEMON: print the version that it last put in force, or 0
applied_version() {
	sed -n 's/.* 3001 config-applied .*version=\([0-9]*\).*/\1/p' \
		"$mesh/log/$1.log" 2>/dev/null | tail -n 1 | grep . || echo 0
}

# serves DAEMON PATH: whether a call that enters at the daemon is answered
serves() {
	test "$(curl -s -o /dev/null -m 2 -w '%{http_code}' \
		"http://$(caller_address "$1")$2?id=probe")" = 200
}

# takes_key DAEMON HOME PATH: whether a call with a new key of data centre HOME
# that enters at the daemon is answered
takes_key() {
	test "$(curl -s -o /dev/null -m 2 -w '%{http_code}' -X POST -d probe \
		-H "Idempotency-Key: $2.$(date +%s%3N).probe-$(date +%N)" \
		"http://$(caller_address "$1")$3?id=probe")" = 200
}

# count_version_regressions DAEMON: count the versions that it put in force
# after a later one
count_version_regressions() {
	sed -n 's/.* 3001 config-applied .*version=\([0-9]*\).*/\1/p' \
		"$mesh/log/$1.log" | awk '$1 < last { n++ }
		{ last = $1 } END { print n + 0 }'
}
