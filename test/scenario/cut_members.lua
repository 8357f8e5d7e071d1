-- Members lose their connections to each other: first in one direction only, then one member to and
-- from all others.
start{settings = "[timing]\nlease_ms = 1000\nheartbeat_interval_ms = 200\ntask_lease_ms = 3000\n"}
load{seconds = 16, calls = 150, jobs = 5}
sleep(2)
cut("e1", {"e2"})
sleep(4)
cut("e1", {"e2", "e3", "e4", "e5", "e6"})
for i = 2, 6 do cut("e" .. i, {"e1"}) end
sleep(5)
for i = 1, 6 do cut("e" .. i, {}) end
sleep(4)
local after = load{seconds = 3, calls = 100, jobs = 4}
wait_load()
local all = figures()
expect(all.lost == 0 and all.unreached == 0, "no request is lost")
local f = figures(after)
expect(f.done == f.sent, "once mended everything is done again")
