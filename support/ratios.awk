#!/usr/bin/awk -f
# Reads the JSON lines of an earlier tree and of this one. Prints both medians and their ratio for each
# number of each line. Lines are matched by their text fields, `workers` and `seed`.
function median(list,    n, parts, i, j, t) {
    n = split(list, parts, " ")
    for (i = 2; i <= n; i++)
        for (j = i; j > 1 && parts[j - 1] + 0 > parts[j] + 0; j--) {
            t = parts[j]; parts[j] = parts[j - 1]; parts[j - 1] = t
        }
    return n % 2 ? parts[(n + 1) / 2] : (parts[n / 2] + parts[n / 2 + 1]) / 2
}
FNR == 1 { file++ }
/^\{/ {
    line = $0; id = ""; count = 0
    while (match(line, /"[a-z_0-9]+":("[^"]*"|-?[0-9.eE+-]+)/)) {
        pair = substr(line, RSTART, RLENGTH)
        line = substr(line, RSTART + RLENGTH)
        key = pair; sub(/^"/, "", key); sub(/".*/, "", key)
        value = pair; sub(/^"[a-z_0-9]+":/, "", value)
        if (value ~ /^"/ || key == "workers" || key == "seed") id = id (id == "" ? "" : ",") key "=" value
        else { count++; keys[count] = key; values[count] = value }
    }
    gsub(/"/, "", id)
    for (i = 1; i <= count; i++) {
        cell = id SUBSEP keys[i]
        if (!(cell in seen)) { seen[cell] = 1; order[++cells] = cell }
        figures[file, cell] = figures[file, cell] " " values[i]
    }
}
END {
    for (i = 1; i <= cells; i++) {
        split(order[i], part, SUBSEP)
        old = figures[1, order[i]]; new = figures[2, order[i]]
        if (old == "" || new == "") continue
        before = median(old); now = median(new)
        printf "{\"line\":\"%s\",\"figure\":\"%s\",\"%s\":%s,\"now\":%s,\"ratio\":%s}\n", part[1], part[2], rev,
            before, now, before == 0 ? "null" : sprintf("%.3f", now / before)
    }
}
