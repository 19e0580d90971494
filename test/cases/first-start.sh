#!/bin/sh
# New deployments of three cores, whose seeds come in another order on each, or are
# fewer than three, and of which one may be killed, frozen or restarted with other
# seeds while the group forms.  Of two operators who send a first configuration one
# is acknowledged, and all cores read it back.
#
# usage: test/cases/first-start.sh BUILD [ROUNDS [SEED]]

. "$(dirname "$0")/../lib.sh"
. "$(dirname "$0")/../platform_programs.sh"

rounds=${2:-16}
seed=${3:-1}

# plan: print a line for each round: the trouble, who has it, when, the delays of
# the three starts and the three lists of seeds, with ',' between seeds
plan() {
	awk -v rounds="$rounds" -v seed="$seed" '
	function shuffle(n,    p, i, j, t, s) {
		for (i = 1; i <= n; i++)
			p[i] = i
		for (i = n; i > 1; i--) {
			j = 1 + int(rand() * i)
			t = p[i]; p[i] = p[j]; p[j] = t
		}
		s = p[1]
		for (i = 2; i <= n; i++)
			s = s "," p[i]
		return s
	}
	BEGIN {
		split("none kill freeze other-seeds", trouble)
		srand(seed)
		for (r = 0; r < rounds; r++) {
			n = r % 5 == 4 ? 2 : r % 7 == 6 ? 1 : 3
			printf "%s %d %.2f", trouble[1 + r % 4],
				1 + int(rand() * 3), rand() * 0.4
			for (i = 0; i < 3; i++)
				printf " %.2f", rand() * 0.3
			for (i = 0; i < 3; i++)
				printf " %s", shuffle(n)
			print ""
		}
	}'
}

# configure PATH: print a first configuration
configure() {
	cat <<-END
	{"version":"00000001","routes":{"columns":["name","host","path_prefix","kind","timeout","target_latency","priority","weighted_split","attempts","service"],
	"rows":[["r","first.example","$1","idempotent","1.5s","500ms",1,null,2,"stock"]]},
	"services":{"columns":["name","health_path","max_connections","protocol","tls"],"rows":[["stock","/health",130,"h1",false]]}}
	END
}

# operate PATH N...: send a first configuration to the cores in turn until there
# is a clear answer; print its status
operate() {
	local path=$1 status n end=$(($(date +%s) + 10))
	shift
	while test "$(date +%s)" -le $end
	do
		for n in "$@"
		do
			status=$(configure "$path" | curl -s -m 1 -o /dev/null \
				-w '%{http_code}' -H "X-Base-Version: 0" \
				-H "Content-Type: application/json" \
				--data-binary @- \
				"http://$net.$n:8620/v1/config/replace")
			case $status in
			200 | 412)
				echo "$status"
				return
				;;
			esac
		done
		sleep 0.05
	done
	echo none
}

# reads N PATH: whether core N reads back the configuration with PATH
reads() {
	curl -s -L -m 1 "http://$net.$1:8620/v1/config/read" | grep -q "\"$2\""
}

# begin N DELAY SEEDS: start core N
begin() {
	sleep "$2"
	render core "$1" "$(seed_list $(echo "$3" | tr , ' '))"
	launch core "$1"
}

# disturb TROUBLE N AT: bring the trouble about
disturb() {
	sleep "$3"
	test -e "$work/core-$2.pid" || return
	case $1 in
	kill | other-seeds)
		kill -KILL "$(pid "core-$2")"
		test "$1" = kill ||
			render core "$2" "$(seed_list 3 9 8)"
		sleep 0.1
		launch core "$2"
		;;
	freeze)
		send STOP "core-$2"
		sleep 0.7
		send CONT "core-$2"
		;;
	esac
}

# play TROUBLE N AT DELAY-1 DELAY-2 DELAY-3 SEEDS-1 SEEDS-2 SEEDS-3: one deployment
play() {
	local n one two kept
	rm -rf "$work"/data-* "$work"/core-*
	begin 1 "$4" "$7" &
	begin 2 "$5" "$8" &
	begin 3 "$6" "$9" &
	disturb "$1" "$2" "$3" &
	(operate /one/ 1 2 3 >"$work/one") &
	two=$(operate /two/ 3 2 1)
	wait
	one=$(cat "$work/one")
	case "$one $two" in
	"200 412") kept=/one/ ;;
	"412 200") kept=/two/ ;;
	*) fail "$*: the first operator got $one, the second $two" ;;
	esac
	for n in 1 2 3
	do
		poll "$*: $kept at core $n" reads $n $kept
	done
	for n in 1 2 3
	do
		kill -KILL "$(pid core-$n)" 2>/dev/null
		rm -f "$work/core-$n.pid"
	done
	sleep 0.05
}

plan >"$work/plan"
while read -r line
do
	play $line
done <"$work/plan"
