#!/usr/bin/env bash
# Builds the members as the deploy file does, and the stand-ins of the scripts, into target/.
set -eu
cd "$(dirname "$0")/.."
cmake -S . -B target -DCMAKE_BUILD_TYPE=Release -DSESAMESILL_TESTS=OFF >/dev/null
cmake --build target -j6 --target sesamesill-member >/dev/null
cmake -S review/lab -B target/review -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target/review -j4 >/dev/null
