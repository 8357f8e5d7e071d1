#!/usr/bin/env bash
# Runs the case against real members: exit status 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. TROUBLE=0 leaves the disruption out. Needs review/build.sh first.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/lab ] || exit 2
exec target/review/lab lone_survivor "$PWD" "$PWD/review/5/record.txt"
