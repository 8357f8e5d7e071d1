-- Members that own keys are killed while the log is down and placements are in flight. Callers retry
-- with the same keys at other members: what may have been dispatched is never dispatched again.
start{work_ms = 400,
      settings = "[timing]\nlease_ms = 1000\nheartbeat_interval_ms = 200\ntask_lease_ms = 4000\n"}
load{seconds = 12, calls = 300, jobs = 0, only = "place"}
sleep(3)
log{down = true}
sleep(0.7)
kill("e" .. math.random(1, 3))
sleep(0.3)
log{down = false}
sleep(4)
kill("e" .. math.random(4, 6))
wait_load()
local all = figures()
expect(all.lost == 0 and all.unreached == 0, "no request is lost")
