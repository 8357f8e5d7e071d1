-- Measures what controlling the workers costs the members in bytes, processor time and memory, by
-- the number of tasks on each worker. Prints one JSON line per step. Run by support/bench.sh control.
local seconds, workers, entries = 10, 48, 6
start{workers = workers, executors = 6, entries = entries}
local function totals()
    local sum = {sent = 0, received = 0, cpu = 0, memory = 0}
    for i = 1, entries do
        local text = get("e" .. i, "/metrics").text
        local function value(name) return tonumber(text:match("\n" .. name .. " (%S+)")) or 0 end
        sum.sent = sum.sent + value("sesamesill_sent_bytes_total")
        sum.received = sum.received + value("sesamesill_received_bytes_total")
        sum.cpu = sum.cpu + value("process_cpu_seconds_total")
        sum.memory = math.max(sum.memory, value("process_max_resident_bytes"))
    end
    return sum
end
local total = 0
for _, on_each in ipairs{0, 4, 8, 16, 32} do
    while total < on_each * workers do
        local job = {organisation = "delta", class = "review", key = "r" .. total, tasks = workers,
            cpu_millis = 400, memory_mb = 256, payload = {run_ms = 600000}}
        expect(post("e" .. total % entries + 1, "/v1/jobs", job).status == 202, "the job is accepted")
        total = total + workers
    end
    sleep(4)
    local before = totals()
    sleep(seconds)
    local after = totals()
    print(string.format('{"case":"control","workers":%d,"tasks_per_worker":%d,"bytes_per_worker_second":%.0f,' ..
        '"core_ratio_per_member":%.4f,"max_resident_mb":%.1f}', workers, on_each,
        (after.sent + after.received - before.sent - before.received) / seconds / workers,
        (after.cpu - before.cpu) / seconds / entries, after.memory / 1048576))
end
