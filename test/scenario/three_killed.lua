-- Three of six members are killed at once; the other three take over.
start{settings = "[timing]\nlease_ms = 1000\nheartbeat_interval_ms = 200\ntask_lease_ms = 4000\n"}
load{seconds = 16, calls = 150, jobs = 4}
sleep(3)
local first = math.random(1, 6)
kill("e" .. first, "e" .. first % 6 + 1, "e" .. (first + 1) % 6 + 1)
sleep(9)
local after = load{seconds = 3, calls = 100, jobs = 4}
wait_load()
local all = figures()
expect(all.lost == 0 and all.unreached == 0, "no request is lost")
local f = figures(after)
expect(f.done == f.sent, "9 s later everything is done again")
