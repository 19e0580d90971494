#!/bin/sh
# Make the key files that a deployment needs, unless it has them: the key of
# the mesh, and one for each operator named.
#
# usage: examples/make-keys.sh FOLDER OPERATOR...

set -e
umask 077
folder=$1
shift

make_key() {
	test -e "$1" && return
	od -An -v -N32 -tx1 /dev/urandom | tr -d ' \n' >"$1"
}

mkdir -p "$folder/keys" "$folder/operators" "$folder/data" "$folder/log"
make_key "$folder/keys/mesh.key"
for operator
do
	make_key "$folder/operators/$operator.key"
done
