#!/usr/bin/env bash
# Runs a benchmark and prints JSON lines, then checks support/bounds.txt:
#   support/bench.sh NAME [FLAGS...]                measures this tree
#   support/bench.sh NAME --against REV [FLAGS...]  also measures an earlier commit, alternating rounds, and
#                                                   prints the ratio of medians (this tree / REV) of each figure
# NAME names a source in bench/. Exit status 1 where a bound is violated.
set -eu
cd "$(dirname "$0")/.."
name=$1; shift
revision=""
if [ "${1:-}" = --against ]; then revision=$2; shift 2; fi
rounds=${BENCH_ROUNDS:-3}
results=$(mktemp -d)
trap 'rm -rf "$results"' EXIT

build() { # directory of the sources
    cmake -G Ninja -S "$1" -B "$1/build/release" -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
    cmake --build "$1/build/release" --target "bench_$name" -j "${BUILD_JOBS:-4}" >/dev/null
}
run() { # directory of the sources, output, flags
    local source=$1 output=$2; shift 2
    if [ -x "$source/support/bench_$name.sh" ]; then
        "$source/support/bench_$name.sh" "$@" >>"$output"
    else
        "$source/build/release/bench_$name" "$@" >>"$output"
    fi
}

build .
if [ -z "$revision" ]; then
    run . "$results/new" "$@"
    cat "$results/new"
    support/bounds.awk -v name="$name" support/bounds.txt "$results/new"
    exit
fi
commit=$(git rev-parse --short "$revision^{commit}")
earlier=build/against/$commit
[ -d "$earlier" ] || git worktree add -q --detach "$earlier" "$commit"
build "$earlier"
for _ in $(seq "$rounds"); do
    run . "$results/new" "$@"
    run "$earlier" "$results/old" "$@"
done
support/ratios.awk -v rev="$commit" "$results/old" "$results/new"
support/bounds.awk -v name="$name" support/bounds.txt "$results/new"
