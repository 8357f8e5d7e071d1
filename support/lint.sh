#!/usr/bin/env bash
# Checks the format of all sources, then runs the linter on those whose bytes changed since the
# last clean run (results are kept by content under build/lint).
set -eu
cd "$(dirname "$0")/.."
build=${1:-build/release}
git ls-files -co --exclude-standard '*.cc' '*.h' | xargs clang-format --dry-run -Werror
mkdir -p build/lint
headers=$(cat .clang-tidy $(git ls-files -co --exclude-standard '*.h' | sort) | sha256sum)
pending=""
for source in $(git ls-files -co --exclude-standard '*.cc'); do
    key=$( (echo "$headers"; cat "$source") | sha256sum | cut -c1-32)
    [ -e "build/lint/$key" ] || pending="$pending $source:$key"
done
export build
printf '%s\n' $pending | xargs -r -P "${LINT_JOBS:-8}" -I{} bash -c '
    entry={}; source=${entry%%:*}; key=${entry##*:}
    if clang-tidy -quiet -p "$build" "$source" >"build/lint/$key.out" 2>/dev/null; then
        mv "build/lint/$key.out" "build/lint/$key"
    else
        grep -hE "(error|warning):" "build/lint/$key.out" | sort -u; rm -f "build/lint/$key.out"; exit 1
    fi'
echo "format and lint: clean"
