#!/usr/bin/env bash
# Runs the soak for a range of seeds: support/soak.sh FIRST_SEED [LAST_SEED] [FLAGS...]. Runs SOAK_JOBS
# seeds in parallel and keeps the logs of failed seeds in run/. Exits with status 0 if no promise was broken.
set -eu
cd "$(dirname "$0")/.."
first=$1; shift
last=$first
case "${1:-}" in [0-9]*) last=$1; shift ;; esac
build=${BUILD:-build/release}
jobs=${SOAK_JOBS:-2}
export build
mkdir -p run
failed=0
seq "$first" "$last" | xargs -P "$jobs" -I{} bash -c '
    seed={}; shift
    directory=run/soak.$seed; rm -rf "$directory"; mkdir -p "$directory"
    port=$((${PORT_BASE:-20000} + seed % 16 * 400))
    if "$build/soak" --program "$build/sesamesill-member" --run_dir "$directory" --seed "$seed" \
        --first_port "$port" "$@" >"$directory/verdict" 2>&1; then
        cat "$directory/verdict"; rm -rf "$directory"
    else
        cat "$directory/verdict"; echo "  files: $directory"; exit 1
    fi' _ {} "$@" || failed=1
exit "$failed"
