#!/bin/sh
# Builds the stand-ins of cases 6 to 10.
set -e
cd "$(dirname "$0")/.."
mkdir -p build/review-2
cc -std=c11 -D_GNU_SOURCE -O2 -Wall -Wextra -Werror -pthread \
	-o build/review-2/stand review/lib-2/stand.c
