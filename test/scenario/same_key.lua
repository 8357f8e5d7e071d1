-- The same placement is sent to all six members at once and again later. It runs once, and every
-- answer reports that one run.
start{}
for round = 1, 10 do
    local body = {organisation = "delta", class = "place", key = "child-" .. round, body = "child 9"}
    local all = {}
    for i = 1, 6 do all[i] = {"e" .. i, "/v1/calls", body} end
    post_all(table.unpack(all))
    for _, answer in ipairs(post_all(table.unpack(all))) do
        expect(answer.body.outcome == "done", "a retry gets the answer")
    end
end
