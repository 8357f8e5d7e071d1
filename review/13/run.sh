#!/usr/bin/env bash
# A member stands still while a job is handed in there; the requester leaves and cancels it elsewhere.
# Needs the deploy file's build and review/build-3.sh. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
timeout -k 2 115 build/review-3/lab overtaken-cancel review/13/record.txt "${TROUBLE:-1}"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
