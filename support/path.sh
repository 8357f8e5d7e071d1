#!/usr/bin/env bash
# Smoke test: starts the stand-ins and six members on loopback, publishes a document, sends requests of
# each kind through different members and checks the responses. Ends the processes that it started.
set -eu
cd "$(dirname "$0")/.."
build=${BUILD:-build/release}
run=$(mktemp -d)
base=${PORT_BASE:-17000}
pids=()
finish() { for p in "${pids[@]}"; do kill "$p" 2>/dev/null || true; done; wait 2>/dev/null || true; rm -rf "$run"; }
trap finish EXIT
start() { "$@" & pids+=($!); }

racks=4; workers=12; executors=12
vms=""
add() { vms="$vms${vms:+,}$1"; }
for i in 1 2 3 4 5 6; do
    add "{\"name\":\"e$i\",\"role\":\"entry\",\"address\":\"127.0.0.1\",\"port\":$((base + 100 + i)),\"peer_port\":$((base + 200 + i)),\"state\":\"live\",\"data_center\":\"dc$((i % 4))\",\"rack\":\"r0\"}"
done
for i in $(seq $workers); do
    add "{\"name\":\"w$i\",\"role\":\"worker\",\"address\":\"127.0.0.1\",\"port\":$((base + 400 + i - 1)),\"state\":\"live\",\"data_center\":\"dc$((i % racks))\",\"rack\":\"r$((i % 3))\",\"cpu_millis\":32000,\"memory_mb\":65536,\"accelerators\":0}"
done
for i in $(seq $executors); do
    add "{\"name\":\"x$i\",\"role\":\"executor\",\"address\":\"127.0.0.1\",\"port\":$((base + 300 + i - 1)),\"state\":\"live\",\"data_center\":\"dc$((i % racks))\",\"rack\":\"x$((i % 3))\",\"service\":\"registration\",\"slots\":8,\"connections\":60}"
done
echo "{\"vms\":[$vms]}" >"$run/vms.json"
start "$build/standin_log" --listen "127.0.0.1:$((base + 1))" --journal "$run/log.jsonl"
start "$build/standin_vms" --listen "127.0.0.1:$((base + 2))" --vms "$run/vms.json"
start "$build/standin_executor" --first_port $((base + 300)) --count $executors --journal "$run/executors.jsonl"
start "$build/standin_worker" --first_port $((base + 400)) --count $workers --journal "$run/workers.jsonl"
for i in 1 2 3 4 5 6; do
    cat >"$run/e$i.ini" <<INI
[node]
name = e$i
data_center = dc$((i % 4))
environment = production
listen = 127.0.0.1:$((base + 100 + i))
peer_listen = 127.0.0.1:$((base + 200 + i))
stop_announce_ms = 100
[platform]
log = 127.0.0.1:$((base + 1))
vm_list = 127.0.0.1:$((base + 2))
[operators]
token = path
INI
    start "$build/sesamesilld" --settings "$run/e$i.ini" --log_level warning
done

entry() { echo "http://127.0.0.1:$((base + 100 + $1))"; }
until_ready() { for _ in $(seq 100); do curl -sf "$(entry "$1")/readyz" >/dev/null && return 0; sleep 0.1; done; return 1; }
sleep 0.5
curl -sf -H 'Authorization: Bearer path' --data-binary @examples/tabara.ini "$(entry 1)/v1/document?base=0"; echo
for i in 1 2 3 4 5 6; do until_ready $i || { echo "e$i is not ready"; exit 1; }; done

expect() { # name, text that the response must contain, arguments of curl
    local name=$1 want=$2 answer; shift 2
    answer=$(curl -s --max-time 25 "$@")
    case $answer in *"$want"*) echo "ok $name" ;; *) echo "FAILED $name: $answer"; exit 1 ;; esac
}
for i in 1 2 3 4 5 6; do
    expect "hold by e$i" '"outcome":"done"' -d '{"organisation":"delta","class":"hold","key":"h'$i'","body":"place 7?"}' "$(entry $i)/v1/calls"
    expect "place by e$i" '"outcome":"done"' -d '{"organisation":"delta","class":"place","key":"p'$i'","body":"child 9"}' "$(entry $i)/v1/calls"
done
expect "place again" '"outcome":"done"' -d '{"organisation":"delta","class":"place","key":"p1","body":"child 9"}' "$(entry 5)/v1/calls"
expect "bad organisation" 'unknown organisation' -d '{"organisation":"nobody","class":"hold","key":"h","body":""}' "$(entry 2)/v1/calls"
expect "batch job" '"job"' -d '{"organisation":"seaside","class":"review","key":"r1","tasks":20,"cpu_millis":4000,"memory_mb":512,"payload":{"run_ms":300}}' "$(entry 3)/v1/jobs"
job=$(curl -s -d '{"organisation":"seaside","class":"review","key":"r1","tasks":20,"cpu_millis":4000,"memory_mb":512,"payload":{"run_ms":300}}' "$(entry 4)/v1/jobs" | sed 's/.*"job":"\([0-9a-f]*\)".*/\1/')
expect "batch done" '"outcome":"done"' "$(entry 6)/v1/jobs/$job?wait_ms=15000"
starts=$(grep -c '"key":"p1"' "$run/executors.jsonl" || true)
[ "$starts" = 2 ] || { echo "FAILED p1 ran other than once: $starts lines"; exit 1; }
echo "path: whole"
