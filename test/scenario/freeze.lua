-- A member is frozen for longer than every lease and resumes under load.
start{settings = "[timing]\nlease_ms = 1000\nheartbeat_interval_ms = 200\ntask_lease_ms = 3000\n"}
load{seconds = 14, calls = 200, jobs = 8}
sleep(3)
local victim = "e" .. math.random(1, 6)
freeze(victim)
sleep(7)
thaw(victim)
wait_load()
local all = figures()
expect(all.lost == 0 and all.unreached == 0, "no request is lost")
