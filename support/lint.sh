#!/usr/bin/env bash
# Checks the format of all sources, then runs the linter on each source whose own bytes or project
# headers changed since it was last clean. Results are kept by content in LINT_CACHE.
set -eu
cd "$(dirname "$0")/.."
build=${1:-build/release}
cache=${LINT_CACHE:-build/lint}
git ls-files -co --exclude-standard '*.cc' '*.h' | xargs clang-format --dry-run -Werror
mkdir -p "$cache"
# "source key" for each object: the key covers the source and the project's headers that it includes.
ninja -C "$build" -t deps | awk -v root="$PWD/" '
    /#deps/ { source = ""; next }
    /^ / { if (index($1, root) == 1) { file = substr($1, length(root) + 1)
             if (source == "") source = file; print source, file } }' | sort -u >"$cache/deps.$$"
pending=""
for source in $(git ls-files -co --exclude-standard '*.cc'); do
    files=$(awk -v s="$source" '$1 == s { print $2 }' "$cache/deps.$$")
    key=$(cat .clang-tidy "$source" $files | sha256sum | cut -c1-32)
    [ -e "$cache/$key" ] || pending="$pending $source:$key"
done
rm -f "$cache/deps.$$"
export build cache
printf '%s\n' $pending | xargs -r -P "${LINT_JOBS:-8}" -I{} bash -c '
    entry={}; source=${entry%%:*}; key=${entry##*:}
    if clang-tidy -quiet -p "$build" "$source" >"$cache/$key.out" 2>/dev/null; then
        mv "$cache/$key.out" "$cache/$key"
    else
        grep -hE "(error|warning):" "$cache/$key.out" | sort -u; rm -f "$cache/$key.out"; exit 1
    fi'
echo "format and lint: clean"
