-- One organisation sends ten times the load that the executors can handle; the other organisations
-- are barely affected.
start{executors = 6, work_ms = 60}
local calm = load{seconds = 12, calls = 60, jobs = 1}
sleep(2)
load{seconds = 8, calls = 4000, jobs = 0, organisation = "seaside", only = "hold"}
wait_load()
local all = figures()
expect(all.lost == 0 and all.unreached == 0, "no request is lost")
for _, row in ipairs(figures(calm).rows) do
    if row.class == "hold" and row.organisation ~= "seaside" then
        expect(row.done >= row.sent * 0.97, row.organisation .. "'s holds are answered")
        expect(row.wait_p99_ms < 800, row.organisation .. "'s holds are prompt")
    end
end
