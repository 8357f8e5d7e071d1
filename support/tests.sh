#!/usr/bin/env bash
# Runs the tests of a build: support/tests.sh [BUILD]. Exit status 0 where all pass or all that fail
# are listed in KNOWN-RED.txt ("test SUITE/NAME ..."). Ends with Criterion's summary.
set -eu
cd "$(dirname "$0")/.."
build=${1:-build/release}
output=$(mktemp)
trap 'rm -f "$output"' EXIT
status=0
"$build/sesamesill_tests" --jobs 4 >"$output" 2>&1 || status=$?
sed -n 's/^\[\(FAIL\|CRASH\)\] \([a-z_]*\)::\([a-z0-9_]*\):.*/\2\/\3/p' "$output" | sort -u >"$output.failed"
new=0
while read -r name; do
    if grep -q "^test $name " KNOWN-RED.txt; then echo "known red: $name"; else echo "FAILED $name"; new=1; fi
done <"$output.failed"
known=$(wc -l <"$output.failed"); rm -f "$output.failed"
grep -h "^test " KNOWN-RED.txt | cut -d' ' -f2 | while read -r name; do
    grep -q "^\[FAIL\] ${name%%/*}::${name##*/}:" "$output" || echo "passes, though known red: $name"
done
if [ "$new" -ne 0 ] || { [ "$status" -ne 0 ] && [ "$known" -eq 0 ]; }; then
    cat "$output"
    exit 1
fi
grep "^\[====\] Synthesis" "$output"
