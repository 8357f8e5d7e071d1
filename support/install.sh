#!/usr/bin/env bash
# Installs the packages listed in support/packages.txt where at least one is missing.
set -eu
cd "$(dirname "$0")/.."
packages=$(cat support/packages.txt)
# shellcheck disable=SC2086
if ! dpkg -s $packages >/dev/null 2>&1; then
    apt-get update >/dev/null
    # shellcheck disable=SC2086
    DEBIAN_FRONTEND=noninteractive apt-get install -y $packages >/dev/null
fi
