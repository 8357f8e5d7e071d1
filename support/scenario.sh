#!/usr/bin/env bash
# Runs one scenario: support/scenario.sh NAME [--seed N] [--disable MECHANISM] [--table].
# Keeps the files of a failed run in run/.
set -eu
cd "$(dirname "$0")/.."
name=$1; shift
build=${BUILD:-build/release}
mkdir -p run
directory=$(mktemp -d "run/$name.XXXXXX")
child=""
trap '[ -n "$child" ] && kill "$child" 2>/dev/null; wait; exit 1' INT TERM
"$build/scenario" --script "test/scenario/$name.lua" --build "$build" --run_dir "$directory" \
    --first_port "${PORT_BASE:-28000}" --last_port "$((${PORT_BASE:-28000} + ${PORT_COUNT:-3250}))" "$@" &
child=$!
if wait "$child"; then
    rm -rf "$directory"
else
    echo "files: $directory"
    exit 1
fi
