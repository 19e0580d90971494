#!/bin/sh
# Starts new deployments, whose three seeds are named in another order on each
# machine, and has two operators send their first configuration.  Only one of the
# two may be acknowledged.  With TROUBLE=0 all machines name them in one order.

cd "$(dirname "$0")/../.." || exit 2
case=11
. review/lib-3/lib.sh
trouble=${TROUBLE:-1}
deployments=24

# configuration VERSION PATH
configuration() {
	cat <<-END
	{"version":"$1","routes":{"columns":["name","host","path_prefix","kind","timeout","target_latency","priority","weighted_split","attempts","service"],
	"rows":[["r-one","first.example","$2","idempotent","1500ms","500ms",1,null,2,"svc"]]},
	"services":{"columns":["name","health_path","max_connections","protocol","tls"],"rows":[["svc","/health",130,"h1",false]]},
	"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}
	END
}

# name_seeds FIRST SECOND THIRD: set the order in which a machine names them
name_seeds() {
	if test "$trouble" = 0
	then
		set -- "$a" "$b" "$c"
	fi
	seeds="[\"$net.$1:8620\", \"$net.$2:8620\", \"$net.$3:8620\"]"
}

# read_at HOST: print the status and the version that a core answers
read_at() {
	$stand_in call "$net.$1" 8620 GET /v1/config/read "Host: control" |
		sed 's/^\([a-z0-9]*\) *\({"version":"\([0-9a-f]*\)"\)\{0,1\}.*/\1 \3/' | head -1
}

# play: one new deployment
play() {
	name_seeds "$a" "$b" "$c"
	render core "$a" none
	name_seeds "$b" "$c" "$a"
	render core "$b" none
	name_seeds "$c" "$a" "$b"
	render core "$c" none
	# All machines start within 0.3 s of each other.
	launch core "$a"
	launch core "$b"
	sleep 0.1
	launch core "$c"
	sleep 1
	cores="$a $b $c"
	one=$(configuration 00000001 /one/ | operate POST /v1/config/replace \
		"X-Base-Version: 00000000" "Content-Type: application/json")
	cores="$b $c $a"
	two=$(configuration 00000002 /two/ | operate POST /v1/config/replace \
		"X-Base-Version: 00000000" "Content-Type: application/json")
	note "deployment $1: first operator answered ${one%% *}, second ${two%% *}"
	case "${one%% *} ${two%% *}" in
	"200 200")
		note "BROKEN: two changes on the same version are acknowledged"
		note "read at the three cores: $(read_at "$a"), $(read_at "$b"), $(read_at "$c")"
		grep -h -e elected "$work"/core-"$a".log "$work"/core-"$b".log \
			"$work"/core-"$c".log | sed 's/^/    /' >>"$record"
		broken=$((broken + 1))
		;;
	"200 412" | "412 200") ;;
	*) cannot "no first configuration was acknowledged" ;;
	esac
	for pid in $pids
	do
		kill -KILL "$pid" 2>/dev/null
	done
	wait 2>/dev/null
	pids=
}

: >"$record"
trap 'finish 2' EXIT INT TERM
test -x target/caraway-core && test -x $stand_in || cannot "a program is not built"
broken=0
for n in $(seq $deployments)
do
	a=$((10 * n + 1))
	b=$((10 * n + 2))
	c=$((10 * n + 3))
	play "$n"
done
note "deployments with two acknowledged first changes: $broken of $deployments"
note "result: $((broken > 0))"
finish $((broken > 0))
