-- Two members cannot reach the log while a document is published; they learn of it from their peers.
-- Fails if the mechanism document_gossip is disabled.
local version = start{}.version
local text = read_file("examples/tabara.ini")
log{cut = {"e2", "e5"}}
sleep(0.5)
local answers = publish("e1", text .. "\n; while two are cut off", version)
expect(answers.status == 200, "the document is accepted")
expect(in_force(answers.version, 19), "it is in force everywhere in 19 s")
log{cut = {}}
local next = publish("e2", text .. "\n; after the cut", answers.version)
expect(next.status == 200, "a member that was ahead of its own log reads takes the next")
expect(in_force(next.version, 5), "the next is in force everywhere in 5 s")
