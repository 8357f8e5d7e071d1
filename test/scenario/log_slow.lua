-- Each call to the log takes 400 ms: holds stay fast; other requests are slower but correct.
start{settings = "[timing]\nlease_ms = 2000\nheartbeat_interval_ms = 200\ntask_lease_ms = 4000\n"}
sleep(1)
log{delay_ms = 400}
load{seconds = 10, calls = 150, jobs = 4}
wait_load()
local f = figures()
expect(f.lost == 0 and f.unreached == 0, "no request is lost")
expect(f.classes.hold.done >= f.classes.hold.sent * 0.99, "holds are answered")
expect(f.waiting.hold.p99_ms < 200, "holds do not wait for the log")
expect(f.classes.place.done >= f.classes.place.sent * 0.95, "placements are done")
