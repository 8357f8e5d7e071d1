#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts. Run the deploy file's build first: it makes
# target/libsesamesill.a and target/sesamesill-member.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review-3
jsoncpp=$(for d in /usr/include/jsoncpp /usr/include; do [ -f "$d/json/json.h" ] && echo "$d" && break; done)
g++ -std=c++17 -O2 -Wall -Wextra -Iinclude -isystem "$jsoncpp" \
    review/lab3/*.cc test/platform_standin/store.cc \
    target/libsesamesill.a -o build/review-3/lab \
    -levent -ljsoncpp -lxxhash -ljsonrpccpp-server -ljsonrpccpp-common \
    -lboost_log -lboost_thread -lboost_system -lpthread
echo "built build/review-3/lab"
