-- Three in ten appends take effect but their answers are lost; a member is killed meanwhile.
start{settings = "[timing]\nlease_ms = 1000\nheartbeat_interval_ms = 200\ntask_lease_ms = 4000\n"}
log{lose_answers = 0.3}
load{seconds = 10, calls = 200, jobs = 5}
sleep(4)
kill("e" .. math.random(1, 6))
wait_load()
local f = figures()
expect(f.lost == 0 and f.unreached == 0, "no request is lost")
expect(f.classes.place.done > 0, "placements are done")
