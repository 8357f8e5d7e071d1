-- All records of the document are trimmed and all six members are replaced; the document survives in
-- the snapshot. Fails if the mechanism document_snapshot is disabled.
local version = start{settings = "[timing]\ndocument_snapshot_interval_ms = 1000\n"}.version
sleep(3)
trim("config", 2000)
for i = 1, 6 do kill("e" .. i) end
sleep(0.5)
for i = 1, 6 do start_entry("e" .. i, false) end
sleep(8)
for i = 1, 6 do
    local shown = get("e" .. i, "/v1/document")
    expect(shown.status == 200 and shown.body.version == version, "e" .. i .. " has the same version")
    expect(get("e" .. i, "/readyz").status == 200, "e" .. i .. " is ready")
end
