-- A member that owns shards and keys is killed under load; the others take over.
start{}
load{seconds = 10, calls = 200, jobs = 4}
sleep(3)
kill("e" .. math.random(1, 6))
wait_load()
local f = figures()
expect(f.lost == 0, "no request is lost")
expect(f.done > 1000, "work goes on")
