#!/usr/bin/env bash
# Runs all checks: format, linter, build, tests with and without sanitizers, scenarios and soak.
# Criterion's summary of the release tests comes last.
set -eu
cd "$(dirname "$0")/.."
support/install.sh
cmake -G Ninja -S . -B build/release -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
cmake --build build/release
support/lint.sh build/release
build/release/bench_capacity --check docs/CAPACITY.md
cmake -G Ninja -S . -B build/sanitize -DCMAKE_BUILD_TYPE=Debug -DSESAMESILL_SANITIZE=ON >/dev/null
cmake --build build/sanitize --target sesamesill_tests
support/tests.sh build/sanitize
support/path.sh
support/scenarios.sh
support/soak.sh 1 4 --seconds 8
support/soak.sh 1 2 --seconds 15 --pairs --fault_gap_ms 5000
support/soak.sh 1 1 --seconds 21 --members 30 --fault_gap_ms 7000 \
    --series leader_killed,configuration_changes,worker_leaves,worker_leaves,worker_leaves
support/soak.sh 1 1 --seconds 18 --members 30 --fault_gap_ms 8000 \
    --series connections_silenced,configuration_changes
support/soak.sh 11 12 --seconds 18 --fault_gap_ms 9000 --series store_cut,configuration_changes
support/soak.sh 1 2 --seconds 27 --fault_gap_ms 9000 --changes
support/soak.sh 22 22 --seconds 8 --fault_gap_ms 9000 --long_percent 12 \
    --series workers_recut,leader_cut --series_gap_ms 300
support/soak.sh 6102 6102 --seconds 18 --fault_gap_ms 9000 \
    --series queue_dropped,odd_entries,leader_killed --series_gap_ms 900
[ -s KNOWN-RED.txt ] && { echo "known red:"; cat KNOWN-RED.txt; }
support/tests.sh build/release
