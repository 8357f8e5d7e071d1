-- A member that owns shards and idempotency keys is killed under load; the others take over.
start{settings = "[timing]\nlease_ms = 1000\nheartbeat_interval_ms = 200\ntask_lease_ms = 4000\n"}
load{seconds = 12, calls = 200, jobs = 4}
sleep(3)
kill("e" .. math.random(1, 6))
sleep(6)
local after = load{seconds = 3, calls = 100, jobs = 4}
wait_load()
local all = figures()
expect(all.lost == 0 and all.unreached == 0, "no request is lost")
local f = figures(after)
expect(f.done == f.sent, "6 s later everything is done again")
