#!/usr/bin/env bash
# Prints one job's story over the logs of several members, in order of time: follow.sh ID FILE...
# Lines come as the members write them, or with a prefix before the JSON.
set -eu
[ $# -ge 2 ] || { echo "usage: follow.sh ID FILE..." >&2; exit 2; }
id=$1; shift
grep -hF "$id" "$@" | sed 's/^[^{]*//' | awk '
    match($0, /"time_ms":[0-9]+/) { print substr($0, RSTART + 10, RLENGTH - 10) "\t" $0 }' | sort -n -s | cut -f2-
