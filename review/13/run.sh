#!/bin/sh
# Takes the keys of all tenants away, one tenant after the other, and asks with
# a key that was taken away and with one that never was.  With TROUBLE=0 the same
# versions are sent, but the tenants stay as they are.

cd "$(dirname "$0")/../.." || exit 2
case=13
. review/lib-3/lib.sh
trouble=${TROUBLE:-1}
broken=0

# configuration VERSION TIMEOUT TENANTS
configuration() {
	cat <<-END
	{"version":"$1","routes":{"columns":["name","host","path_prefix","kind","timeout","target_latency","priority","weighted_split","attempts","service"],
	"rows":[["r-read","read.example","/read/","idempotent","$2","500ms",1,null,2,"svc"]]},
	"services":{"columns":["name","health_path","max_connections","protocol","tls"],"rows":[["svc","/health",130,"h1",false]]},
	"tenants":{"columns":["name","api_keys","priority","rate_per_s","burst"],"rows":[$3]},
	"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}
	END
}

# submit VERSION BASE TIMEOUT TENANTS
submit() {
	outcome=$(configuration "$1" "$3" "$4" |
		operate POST /v1/config/replace "X-Base-Version: $2" \
			"Content-Type: application/json")
	note "sent version $1 on $2 with tenants [$4]: answered ${outcome%% *}"
	test "${outcome%% *}" = 200 || cannot "version $1 was not acknowledged"
}

# ask KEY EXPECTED-STATUS WHAT: ask each proxy, and compare
ask() {
	for i in $sides
	do
		id=a$((n = n + 1))
		set -- "$1" "$2" "$3" "Host: read.example" "X-Attempt-Id: $id" "X-Deadline-Ms: 1500"
		key=$1
		expected=$2
		what=$3
		shift 3
		test -z "$key" || set -- "$@" "Authorization: Bearer $key"
		answer=$($stand_in call "$net.$i" 8629 GET "/read/$id" "$@")
		ran=$(cat "$work"/backend-* | grep "$id" | sed 's/.*\(GET\)/\1/')
		note "request $id at proxy $i with key '$key' ($what): answered ${answer%% *}; run as: ${ran:-not run}"
		if test "${answer%% *}" != "$expected"
		then
			note "BROKEN: expected $expected"
			broken=1
		fi
		case $ran in
		*Bearer*)
			note "BROKEN: the key was passed on to the backend server"
			broken=1
			;;
		esac
		set -- "$key" "$expected" "$what"
	done
}

begin
one='["tenant-one",["key-one"],1,0,0]'
two='["tenant-two",["key-two"],1,0,0]'
n=0
submit 00000001 00000000 1500ms "$one,$two"
beat
sleep 2
beat
ask key-one 200 "of tenant-one"
ask key-two 200 "of tenant-two"
ask key-none 401 "of no tenant"
test $broken = 0 || cannot "keys were not checked before any was taken away"

if test "$trouble" = 0
then
	submit 00000002 00000001 1400ms "$one,$two"
	beat
	submit 00000003 00000002 1300ms "$one,$two"
	taken=200
else
	submit 00000002 00000001 1400ms "$two"
	beat
	submit 00000003 00000002 1300ms ""
	taken=401
fi
# config_apply is 2.5 s, stable_window 4 s
for i in 1 2 3 4 5
do
	sleep 0.9
	beat
done
ask key-one $taken "of tenant-one, until version 2"
ask key-two $taken "of tenant-two, until version 3"
ask key-none 401 "of no tenant, ever"
current=$(operate GET /v1/config/read)
note "read back: $current"
case $current in
*'"tenants"'*) ;;
*)
	note "BROKEN: version 3 is read back without its tenants"
	broken=1
	;;
esac
note "result: $broken"
finish $broken
