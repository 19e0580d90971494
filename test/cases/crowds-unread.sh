#!/bin/sh
# A crowd of connections that send requests and do not read the answers, on all
# ports that others reach: no process ends, each stays within the memory that it is
# told to use, and callers get answers afterwards.
#
# usage: test/cases/crowds-unread.sh BUILD

. "$(dirname "$0")/../lib.sh"
. "$(dirname "$0")/../soak.sh"
. "$(dirname "$0")/../crowds.sh"

crowd unread 24576 --load 0.2 --crowd 600 --crowd-kind unread \
	--crowd-bytes 300000 --memory-mb 24
