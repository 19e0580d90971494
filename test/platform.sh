#!/bin/sh
# Checks that names of the users' platform are used in platform/, deploy/ and
# test/ only, that platform/ doesn't use the event loop, the clock or random
# numbers, and that it stays below a limit of lines.
#
# usage: test/platform.sh

limit=1500 # lines
names='X-Tenant|api_keys|rate_per_s|auth_exempt|X-Attempt-Id|X-Deadline-Ms|X-Target-Instance|X-Caller-Service|X-Not-Executed|X-Server-Load|X-Response-Stamp|X-Base-Version|X-Instance-Id|Server-Limit|Server-Leaving|/v1/(ready|instances|config)|cold_left|weighted_split|path_prefix|target_latency|heartbeat_addr|non_idempotent'

if git grep -nE "$names" -- '*.c' '*.h' '*.cc' '*.proto' \
	':!platform' ':!deploy' ':!test'
then
	echo "names of the users' platform are used outside platform/"
	exit 1
fi
if grep -rnE 'ba_(loop|rand)_|ba_clock_(now|wall)' platform
then
	echo "platform/ uses the event loop, the clock or random numbers"
	exit 1
fi
lines=$(cat platform/* | wc -l)
test "$lines" -lt $limit || { echo "platform/ has $lines lines"; exit 1; }
