-- Adds five times the usual load for 4 s, as when enrolment opens, and then returns to the usual load.
start{executors = 12, work_ms = 60}
load{seconds = 14, calls = 250, jobs = 2}
sleep(3)
load{seconds = 4, calls = 1250, jobs = 5}
sleep(8)
local after = load{seconds = 3, calls = 100, jobs = 1}
wait_load()
local all = figures()
expect(all.lost == 0 and all.unreached == 0, "no request is lost")
local f = figures(after)
expect(f.done == f.sent, "after the burst everything is done again")
