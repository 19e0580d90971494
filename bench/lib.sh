# Functions of the bench scripts.  To be sourced by sh after case_name is set;
# the script's first argument is the build folder.

top=$(cd "$(dirname "$0")/.." && pwd)
build=$(cd "$1" && pwd)
work=$build/bench-run/$case_name
. "$top/test/process.sh"
. "$top/bench/mesh.sh"

# bench NAME VALUE UNIT: print a result.  The scripts print nothing else; other
# output goes to files.
bench() {
	echo "bench $1 $2 $3"
}

# work_in NAME: use a new empty folder for one part
work_in() {
	work=$build/bench-run/$case_name/$1
	rm -rf "$work"
	mkdir -p "$work"
	mesh=$work/mesh
}

# now_us: print the wall time in microseconds
now_us() {
	echo $(($(date +%s%N) / 1000))
}

# grow_mesh N: add copies of the first daemon of each data centre, without
# backend servers, until there are N daemons
grow_mesh() {
	local n data_centre like net octet
	n=$(names daemons | wc -l)
	octet=60 # last octet of the addresses of the next copies
	while test "$n" -lt "$1"
	do
		for data_centre in $(data_centres)
		do
			test "$n" -lt "$1" || break
			n=$((n + 1))
			like=$(first_daemon_of "$data_centre")
			net=$(caller_address "$like" | cut -d. -f1-3)
			sed -e "s/\"$like\"/\"extra-$n\"/" \
				-e "s/$like\\.log/extra-$n.log/" \
				-e "s/\"\\($mesh_net\\.[0-9]*\\)\\.3[0-9]:\\([789][0-9]*\\)\"/\"\\1.$octet:\\2\"/" \
				"$mesh/daemons/$like.toml" \
				>"$mesh/daemons/extra-$n.toml"
		done
		octet=$((octet + 1))
	done
}

# first_daemon_of DATA-CENTRE: print the name of the data centre's first daemon
first_daemon_of() {
	grep -l "data_centre = \"$1\"" "$mesh"/daemons/*.toml |
		grep -v /extra- | head -n 1 | xargs basename -s .toml
}

# start_control_plane LINK-MBIT-PER-S: start the link, sources and relays
start_control_plane() {
	local name
	start_link 30ms "$1"
	for name in $(names sources)
	do
		start_source "$name"
	done
	for name in $(names relays)
	do
		start_relay "$name"
	done
}

# write_change N: write change.toml, whose extra route differs from change N-1
write_change() {
	{
		cat "$mesh/configuration.toml"
		printf '\n[[routes]]\nname = "trial-%d"\n' $(($1 % 7))
		printf 'path = "/trial/%d"\n' "$1"
		printf 'service = "%s"\nidempotent = true\n' \
			"$(setting "$mesh/configuration.toml" '[services]' name)"
	} >"$mesh/change.toml"
}

# submit_change N: write change N and submit it until it is accepted
submit_change() {
	write_change "$1"
	poll "change $1 accepted" accepted_as "change-$1"
}

# last_version: print the version that the last submission was accepted as
last_version() {
	version_of "$work/submit.json"
}

# cpu_us NAME: print the processor time of a process so far, in microseconds
cpu_us() {
	cat "/proc/$(pid "$1")"/task/*/schedstat |
		awk '{ ns += $1 } END { printf "%d\n", ns / 1000 }'
}

# counter NAME INSTANCE: print a counter of an instance's metrics, summed over
# its labels
counter() {
	local file
	file=$(echo "$mesh"/*/"$2.toml")
	curl -s "http://$(setting "$file" metrics address)/metrics" |
		awk -v name="$1" '{ split($1, part, "{") }
			part[1] == name { n += $2 } END { print n + 0 }'
}

# link_bytes: print the bytes that crossed the link so far, in both
# directions
link_bytes() {
	link_command count | awk '{ n += $2 } END { print n + 0 }'
}

# stop_mesh: stop all processes of this part
stop_mesh() {
	local file
	for file in "$work"/*.pid
	do
		send TERM "$(basename "$file" .pid)"
	done
	for file in "$work"/*.pid
	do
		wait_gone "$(basename "$file" .pid)"
	done
}

# wait_gone NAME: wait for a process to end, even one that a background part of
# the script has started
wait_gone() {
	while kill -0 "$(pid "$1")" 2>/dev/null
	do
		wait "$(pid "$1")" 2>/dev/null
		test $? = 127 && sleep 0.1
	done
	rm -f "$work/$1.pid"
}
