#!/bin/sh
# carawayctl without a source: its exit status and output.
set -eu
ctl=$1/carawayctl
net=${TEST_NET:-127.0.0}
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT

# expect STATUS WORDS COMMAND...: the command ends with STATUS and prints WORDS
expect() {
	want=$1
	words=$2
	shift 2
	status=0
	"$@" >"$dir/out" 2>&1 || status=$?
	cat "$dir/out"
	test "$status" -eq "$want" ||
		{ echo "exit status $status, not $want: $*"; exit 1; }
	grep -qF -e "$words" "$dir/out" ||
		{ echo "lacks \"$words\": $*"; exit 1; }
}

printf '%064d\n' 7 >"$dir/key"
cat >"$dir/ctl.toml" <<EOF
[mesh]
name = "m"
[operator]
name = "ana"
key_file = "$dir/key"
[sources]
addresses = ["$net.250:7999"]
EOF
cat >"$dir/bad.toml" <<EOF
[mesh]
name = 3
[operator]
kee = "x"
[sources]
addresses = ["somewhere"]
EOF
cat >"$dir/good.toml" <<EOF
[[services]]
name = "plans"
max_in_flight = 10
timeout = "2s"

[[routes]]
name = "plans"
path = "/plans"
service = "plans"
idempotent = true
EOF
sed 's/^service = .*/service = "maps"/' "$dir/good.toml" >"$dir/dangling.toml"

expect 0 "Exit status:" "$ctl" --help
expect 0 "carawayctl " "$ctl" --version
expect 2 "a command is missing" "$ctl"
expect 2 'no command "frob"' "$ctl" frob
expect 2 "expected FILE" "$ctl" check
expect 0 "valid; 1 services, 1 routes" "$ctl" check "$dir/good.toml"
expect 0 '"routes": 1' "$ctl" --json check "$dir/good.toml"
expect 3 "303 route-dangling" "$ctl" check "$dir/dangling.toml"
expect 3 '"line": 6' "$ctl" --json check "$dir/dangling.toml"
expect 2 "file-unreadable" "$ctl" check "$dir/none.toml"
expect 2 "CARAWAYCTL_SETTINGS" "$ctl" status
expect 2 "bad.toml:2: mesh.name:" "$ctl" -s "$dir/bad.toml" status
expect 2 "operator.kee" "$ctl" -s "$dir/bad.toml" status
expect 5 "702 source-unreachable" "$ctl" -s "$dir/ctl.toml" -t 1 status
expect 5 "--id " "$ctl" -s "$dir/ctl.toml" -t 1 -b 1 submit "$dir/good.toml"
expect 0 "in-force" "$ctl" explain 5004
expect 0 "exit status 4" "$ctl" explain base-stale
expect 2 "neither an event" "$ctl" explain 9999

cat >"$dir/a.log" <<EOF
2026-12-04T10:00:02.000000Z carawayd/d1 3001 config-applied version=12
2026-12-04T10:00:02.100000Z carawayd/d1 3001 config-applied version=123
EOF
cat >"$dir/b.log" <<EOF
2026-12-04T10:00:01.000000Z caraway-source/s1 4003 accepted version=12 base=11
EOF
expect 0 "4003 accepted" "$ctl" -l "$dir/a.log" -l "$dir/b.log" \
	explain version=12
test "$(cut -d' ' -f3 "$dir/out" | tr '\n' ' ')" = "4003 3001 "

# What one backend server stated, by the proxies beside it and after a restart.
cat >"$dir/a.log" <<EOF
2026-12-04T10:00:01.000000Z caraway-proxy/p1 6016 backend-limit backend=i-1 change=learned source=answer per_second=9.8 was=0 sent=117
2026-12-04T10:00:01.500000Z caraway-proxy/p1 6016 backend-limit backend=i-12 change=learned source=answer per_second=5 was=0 sent=1
2026-12-04T10:00:04.000000Z caraway-proxy/p1 6017 backend-leaving backend=i-1 change=learned source=answer
EOF
cat >"$dir/b.log" <<EOF
2026-12-04T10:00:03.000000Z caraway-proxy/p1 6016 backend-limit backend=i-1 change=learned source=proxy per_second=9.8 was=0 sent=0
EOF
expect 0 "source=proxy" "$ctl" -l "$dir/a.log" -l "$dir/b.log" \
	explain backend=i-1
test "$(cut -d' ' -f3,6 "$dir/out" | tr '\n' ' ')" = \
	"6016 change=learned 6016 change=learned 6017 change=learned "
expect 0 "states its departure" "$ctl" explain backend-leaving
