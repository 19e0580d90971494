#!/bin/sh
# docs/CAPACITY.md is what bench/capacity.sh makes of the measured lines.
set -eu
bench/capacity.sh --page docs/capacity.bench | diff - docs/CAPACITY.md
