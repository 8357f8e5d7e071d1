#!/usr/bin/env bash
# Prints the log lines of one job from the logs of several members, ordered by time: follow.sh ID FILE...
# A prefix before the JSON of a line is removed.
set -eu
[ $# -ge 2 ] || { echo "usage: follow.sh ID FILE..." >&2; exit 2; }
id=$1; shift
grep -hF "$id" "$@" | sed 's/^[^{]*//' | awk '
    match($0, /"time_ms":[0-9]+/) { print substr($0, RSTART + 10, RLENGTH - 10) "\t" $0 }' | sort -n -s | cut -f2-
