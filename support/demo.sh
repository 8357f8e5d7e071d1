#!/usr/bin/env bash
# Runs a demo: support/demo.sh [keepers]. Installs the required packages, builds, starts stand-ins and six
# members on loopback, publishes a document, sends a mixed load for 20 s, kills one member halfway and
# prints the results. Exit status 0 where every invariant held and no request was lost.
set -eu
cd "$(dirname "$0")/.."
support/install.sh
build=${BUILD:-build/release}
cmake -G Ninja -S . -B "$build" -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
cmake --build "$build" ${BUILD_JOBS:+-j "$BUILD_JOBS"} | tail -1
case ${1:-tabara} in
    tabara) exec support/scenario.sh demo --table ;;
    keepers) exec support/scenario.sh demo_keepers --table ;;
    *) echo "usage: support/demo.sh [keepers]"; exit 2 ;;
esac
