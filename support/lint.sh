#!/usr/bin/env bash
# Checks the format of all sources, then runs clang-tidy on each source that has changed, or whose
# project headers have changed, since its last clean run. LINT_CACHE holds the results, keyed by content.
set -eu
cd "$(dirname "$0")/.."
build=${1:-build/release}
cache=${LINT_CACHE:-build/lint}
git ls-files -co --exclude-standard '*.cc' '*.h' | xargs clang-format --dry-run -Werror
mkdir -p "$cache"
# Lists each source with the project files that it includes. The key of a source is a hash of these
# files and .clang-tidy.
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
