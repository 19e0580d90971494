#!/bin/sh
# Crowds of connections whose bodies or heads never end, on all ports that others
# reach: no process ends, each stays within the memory and the descriptors that it
# is told to use, and callers get answers afterwards.  A single body of the largest size is served.
#
# usage: test/cases/crowds.sh BUILD

. "$(dirname "$0")/../lib.sh"
. "$(dirname "$0")/../soak.sh"
. "$(dirname "$0")/../crowds.sh"

crowd untold 163840 --load 0.2 --crowd 180 --crowd-bytes 3000000
crowd told 49152 --load 0.2 --crowd 180 --crowd-bytes 30000000 --memory-mb 48
crowd small-chunks 49152 --load 0.2 --crowd 60 --crowd-bytes 300000 \
	--crowd-chunk 1 --memory-mb 48
crowd descriptors 163840 --load 0.2 --crowd 400 --crowd-kind heads \
	--crowd-bytes 60 --descriptors 192
expect_most descriptors peak_fds 184
crowd single 163840 --link-rate 1000Mbit --load 0.002 --crowd 1 \
	--crowd-kind whole --crowd-bytes 67108864 --memory-mb 160
expect_field single crowd_served 1
