-- A document is published while the log is down: the operator gets not_run or unknown. A retry with
-- the same id after the outage has one outcome, on which all members agree.
local version = start{}.version
local text = read_file("examples/tabara.ini") .. "\n; in the outage"
log{down = true}
sleep(0.3)
local refused = post("e3", "/v1/document?base=" .. version .. "&id=outage-1", text, 12000)
expect(refused.status == 503 or refused.status == 504, "no success is claimed in an outage")
log{down = false, lose_answers = 0.5}
local again = post("e4", "/v1/document?base=" .. version .. "&id=outage-1", text)
expect(again.status == 200, "the retry under the same id is accepted")
log{lose_answers = 0}
local copy = post("e1", "/v1/document?base=" .. version .. "&id=outage-1", text)
expect(copy.status == 200, "a copy of it is answered alike")
expect(copy.body.version == again.body.version, "the same version for each copy")
expect(in_force(again.body.version, 5), "it is in force everywhere in 5 s")
