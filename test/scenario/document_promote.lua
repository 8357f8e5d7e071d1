-- A trial document is not promoted unless it was in force on an entire trial cell.
local version = start{}.version
local text = read_file("examples/tabara.ini") .. "\n; on trial"
local trial = post("e2", "/v1/environments/trial/publish?base=0&id=trial-1", text)
expect(trial.status == 200, "the trial document is accepted")
sleep(0.5)
local early = post("e3", "/v1/environments/production/promote?from=trial", "")
expect(early.status == 409, "what was never in force is not promoted")
expect(in_force(version, 5), "production is as it was")
local strange = post("e3", "/v1/environments/production/promote?from=nowhere", "")
expect(strange.status == 404, "an unknown environment is named")
