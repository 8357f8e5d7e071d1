-- Each member in turn is shut down gracefully and restarted, under load.
start{settings = "[timing]\nlease_ms = 1000\nheartbeat_interval_ms = 200\ntask_lease_ms = 4000\n"}
load{seconds = 30, calls = 150, jobs = 3}
sleep(1)
for i = 1, 6 do
    stop("e" .. i)
    expect(wait_exit("e" .. i, 15) == 0, "e" .. i .. " stopped with status 0")
    start_entry("e" .. i)
end
wait_load()
local f = figures()
expect(f.lost == 0 and f.unreached == 0, "no request is lost")
expect(f.unknown == 0, "no ending is unknown")
expect(f.not_run <= f.sent * 0.01, "at most one of a hundred is refused")
