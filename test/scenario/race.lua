-- Operators publish simultaneously, based on the same version: exactly one succeeds and the
-- other is told so.
local version = start{}.version
local text = read_file("examples/tabara.ini")
load{seconds = 12, calls = 50, jobs = 2}
for round = 1, 6 do
    if round == 4 then log{lose_answers = 0.4} end
    local first, second = "e" .. math.random(1, 3), "e" .. math.random(4, 6)
    local answers = publish(first, text .. "\n; " .. first .. " " .. round, version,
                            second, text .. "\n; " .. second .. " " .. round, version)
    local won = 0
    for _, a in ipairs(answers) do
        if a.status == 200 then won = won + 1; version = a.version end
    end
    expect(won == 1, "exactly one operator wins round " .. round)
    expect(in_force(version, 5), "version " .. version .. " is in force everywhere in 5 s")
end
log{lose_answers = 0}
wait_load()
local all = figures()
expect(all.lost == 0 and all.unreached == 0, "no request is lost")
