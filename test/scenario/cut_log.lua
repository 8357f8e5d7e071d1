-- A single member loses its connection to the log. The member cannot tell this from an outage of
-- the log.
start{settings = "[timing]\nlease_ms = 1000\nheartbeat_interval_ms = 200\ntask_lease_ms = 3000\n"}
load{seconds = 14, calls = 150, jobs = 5}
sleep(2)
log{cut = {"e" .. math.random(1, 6)}}
sleep(6)
log{cut = {""}}
sleep(3)
local after = load{seconds = 3, calls = 100, jobs = 4}
wait_load()
local all = figures()
expect(all.lost == 0 and all.unreached == 0, "no request is lost")
local f = figures(after)
expect(f.done == f.sent, "once mended everything is done again")
