-- The log is down for many lease periods (ten minutes, compressed). Holds continue to be served and
-- no caller gets a wrong answer.
start{settings = "[timing]\nlease_ms = 500\nheartbeat_interval_ms = 100\ntask_lease_ms = 3000\n"}
load{seconds = 3, calls = 100, jobs = 3}
wait_load()
log{down = true}
sleep(1)
local during = load{seconds = 12, calls = 150, jobs = 2}
sleep(14)
local f = figures(during)
expect(f.classes.hold.done >= f.classes.hold.sent * 0.99, "holds are answered during the outage")
log{down = false}
sleep(3)
local after = load{seconds = 3, calls = 100, jobs = 3}
wait_load()
local all = figures()
expect(all.lost == 0 and all.unreached == 0, "no request is lost")
local g = figures(after)
expect(g.done == g.sent, "after the outage everything is done again")
