#!/usr/bin/env bash
# An executor starts again under its id, of another kind.
# Needs the deploy file's build and review/build-3.sh. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
timeout -k 2 115 build/review-3/lab other-kind review/15/record.txt "${TROUBLE:-1}"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
