#!/bin/sh
# Runs the script case.pl of a case; sourced by review/N/run.sh.
#
# usage: [TROUBLE=0] review/N/run.sh

folder=$(cd "$(dirname "$0")" && pwd)
REVIEW_ROOT=$(cd "$folder/../.." && pwd)
export REVIEW_ROOT
exec perl -I"$REVIEW_ROOT/review/lib" "$folder/case.pl" "$folder"
