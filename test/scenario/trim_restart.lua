-- Old records have been trimmed from the log and a member starts from a position before the oldest
-- one left: it knows the document or reports that it does not, and keys used before the trim are not
-- used again.
local version = start{settings = "[timing]\nlease_ms = 1000\nheartbeat_interval_ms = 200\n" ..
                                 "task_lease_ms = 4000\nsnapshot_interval_ms = 1000\n"}.version
local used = {organisation = "delta", class = "place", key = "before-the-trim", body = "child 9"}
expect(post("e1", "/v1/calls", used).status == 200, "the placement is done")
load{seconds = 8, calls = 100, jobs = 3}
wait_load()
trim("cell", 5000)
trim("config", 0)
local victim = "e" .. math.random(1, 6)
kill(victim)
sleep(1)
start_entry(victim, false)
sleep(4)
local shown = get(victim, "/v1/document").body.version
expect(shown == 0 or shown >= version, "the document did not revert")
if shown == 0 then
    expect(get(victim, "/readyz").status ~= 200, "without a document it takes no work")
end
for i = 1, 6 do post("e" .. i, "/v1/calls", used) end
load{seconds = 3, calls = 100, jobs = 3}
wait_load()
local all = figures()
expect(all.lost == 0 and all.unreached == 0, "no request is lost")
