-- Endpoints leave under load, announced by the VM list (after a delay) or by the endpoint itself.
-- A leaving endpoint gets no new work.
start{vm_lag_ms = 1500}
load{seconds = 14, calls = 300, jobs = 6}
sleep(3)
for i = 1, 4 do vm{name = "x" .. math.random(1, 25), state = "leaving"} end
for i = 1, 4 do vm{name = "w" .. math.random(1, 50), state = "leaving"} end
endpoint_mode("x" .. math.random(26, 50), {draining = true})
wait_load()
local f = figures()
expect(f.lost == 0 and f.unreached == 0, "no request is lost")
expect(f.classes.hold.done >= f.classes.hold.sent * 0.999, "holds are answered")
