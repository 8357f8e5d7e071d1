-- Runs a mixed load for a few seconds through the whole system; nothing fails.
start{}
load{seconds = 5, calls = 200, jobs = 4}
wait_load()
local f = figures()
expect(f.lost == 0 and f.unreached == 0, "no request is lost")
expect(f.rejected == 0, "no request is rejected")
expect(f.done > 500, "work is done")
