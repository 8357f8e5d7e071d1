-- All six members are killed and six new VMs take their place. The VM list shows each change
-- after a delay of 1 s.
start{vm_lag_ms = 1000,
      settings = "[timing]\nlease_ms = 1000\nheartbeat_interval_ms = 200\ntask_lease_ms = 4000\n"}
load{seconds = 18, calls = 100, jobs = 3, entries = 12}
sleep(4)
kill("e1", "e2", "e3", "e4", "e5", "e6")
for i = 7, 12 do start_entry("e" .. i, false) end
for i = 1, 6 do vm{name = "e" .. i, state = "gone"} end
sleep(12)
local after = load{seconds = 4, calls = 100, jobs = 3, entries = 12}
wait_load()
local f = figures(after)
expect(f.done == f.sent, "12 s later everything is done again")
expect(figures().lost == 0, "no request is lost")
