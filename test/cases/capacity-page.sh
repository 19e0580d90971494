#!/bin/sh
# docs/CAPACITY.md is up to date: it is what bench/capacity.sh generates from
# docs/capacity.bench.
set -eu
bench/capacity.sh --page docs/capacity.bench | diff - docs/CAPACITY.md
