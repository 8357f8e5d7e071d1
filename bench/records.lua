-- Measures the log bytes and items of each non-idempotent call and each job.
-- Prints one JSON line per case.
local entries = 6
start{workers = 48, executors = 50, entries = entries}
local function appended()
    local sum = {appends = 0, items = 0, bytes = 0}
    for i = 1, entries do
        local text = get("e" .. i, "/metrics").text
        for key in pairs(sum) do
            local name = key == "appends" and "sesamesill_log_appends_total"
                or "sesamesill_log_appended_" .. key .. "_total"
            sum[key] = sum[key] + (tonumber(text:match("\n" .. name .. " (%S+)")) or 0)
        end
    end
    return sum
end
local function measure(case, count, send)
    sleep(2)
    local before = appended()
    for n = 1, count do send(n) end
    sleep(3)
    local after = appended()
    print(string.format('{"case":"%s","requests":%d,"items_per_request":%.2f,"bytes_per_request":%.0f,"appends_per_request":%.2f}',
        case, count, (after.items - before.items) / count, (after.bytes - before.bytes) / count,
        (after.appends - before.appends) / count))
end
measure("idle_5s", 1, function() sleep(2) end)
measure("place", 200, function(n)
    post("e" .. n % entries + 1, "/v1/calls", {organisation = "delta", class = "place", key = "p" .. n, body = "child " .. n})
end)
local function job(class, tasks)
    return function(n)
        post("e" .. n % entries + 1, "/v1/jobs", {organisation = "delta", class = class, key = class .. tasks .. n, tasks = tasks,
            cpu_millis = 100, memory_mb = 64, payload = {run_ms = 200}})
    end
end
measure("review_1", 100, job("review", 1))
measure("review_10", 50, job("review", 10))
measure("cohort_2", 50, job("cohort", 2))
measure("cohort_12", 50, job("cohort", 12))
