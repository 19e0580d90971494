# A small mesh for shell cases: three sources and, in each of two regions, one
# relay and one daemon with its backend server.  To be sourced after
# test/lib.sh.

top=$(cd "$(dirname "$0")/../.." && pwd)
MESH_NET=${net%.*}
. "$top/bench/mesh.sh"

near=floor-plans-1 # in region andina
far=scheduling-3   # in region caribe

# small_mesh: start the mesh and wait until it answers calls under the first
# version, $first
small_mesh() {
	local name
	mesh_prepare bucle-andino
	(cd "$mesh/daemons" && ls | grep -v -x -e "$near.toml" \
		-e "$far.toml" | xargs rm)
	start_link 2ms 0
	for name in s1 s2 s3
	do
		start_source $name
	done
	for name in andina-1-r1 caribe-1-r1
	do
		start_relay $name
	done
	for name in $near $far
	do
		start_backend $name
		start_daemon $name
	done
	poll "the first submission accepted" \
		submitted configuration.toml submit --id first
	first=$(version_of "$work/submit.json")
	poll "version $first everywhere" in_force "$first" $near $far
	for name in $near $far
	do
		poll "floor plans through $name" serves $name /floor-plans
		poll "bookings through $name" serves $name /bookings
	done
}

# await_keys: wait until keys of bookings have an owner; a new endpoint becomes
# one only after some seconds
await_keys() {
	poll "a booking" takes_key $near caribe-1 /bookings
}

# write_change N: write a configuration with an additional route to
# $mesh/change.toml
write_change() {
	{
		cat "$mesh/configuration.toml"
		printf '\n[[routes]]\nname = "trial"\npath = "/trial/%s"\n' "$1"
		printf 'service = "floor-plans"\nidempotent = true\n'
	} >"$mesh/change.toml"
}

# submit_change N OPTIONS...: submit change N until it is accepted; sets $version
submit_change() {
	write_change "$1"
	shift
	poll "a change accepted" submitted change.toml submit "$@"
	version=$(version_of "$work/submit.json")
}

# call DAEMON FILE OPTIONS...: run a caller at a daemon, with its figures in
# $work/FILE.json
call() {
	local name=$1 file=$2
	shift 2
	"$build/caller" --daemon "$(caller_address "$name")" --home caribe-1 \
		--backend "$(backend_address $near)" \
		--backend "$(backend_address $far)" --name "$file" \
		"$@" >"$work/$file.json" 2>"$work/$file.err"
	cat "$work/$file.json"
}

# expect_harmless FILE: fail if a keyed call ran twice, if an answer was wrong
# or short, or if "answered" or "not run" was false
expect_harmless() {
	expect_field "$1" wrong_or_short_answers 0
	expect_field "$1" double_runs 0
	expect_field "$1" false_not_run 0
	expect_field "$1" answered_not_run 0
}

# expect_no_regression: fail if a daemon has put an older version in force
# after a newer one
expect_no_regression() {
	local name
	for name in $near $far
	do
		test "$(count_version_regressions $name)" = 0 ||
			fail "$name went back to an older version"
	done
}

# other_leader NAME: whether a source other than NAME leads
other_leader() {
	local name
	name=$(leader)
	test -n "$name" && test "$name" != "$1"
}
