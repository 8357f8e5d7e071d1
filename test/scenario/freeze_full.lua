-- A cell with few workers is full and many jobs wait. Three times, a member is frozen past its leases
-- and resumes: no worker is overcommitted and no task runs twice.
start{workers = 12, executors = 12,
      settings = "[timing]\nlease_ms = 1000\nheartbeat_interval_ms = 200\ntask_lease_ms = 3000\n"}
load{seconds = 24, calls = 20, jobs = 25}
for i = 1, 3 do
    sleep(2)
    local victim = "e" .. math.random(1, 6)
    freeze(victim)
    sleep(4.5)
    thaw(victim)
end
wait_load()
local all = figures()
expect(all.lost == 0 and all.unreached == 0, "no request is lost")
