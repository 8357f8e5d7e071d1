-- Placements take long; members are killed while some run, and callers retry with the same keys.
start{work_ms = 400,
      settings = "[timing]\nlease_ms = 1000\nheartbeat_interval_ms = 200\ntask_lease_ms = 4000\n"}
load{seconds = 12, calls = 300, jobs = 0, only = "place"}
sleep(3)
kill("e" .. math.random(1, 3))
sleep(4)
kill("e" .. math.random(4, 6))
wait_load()
local all = figures()
expect(all.lost == 0 and all.unreached == 0, "no request is lost")
