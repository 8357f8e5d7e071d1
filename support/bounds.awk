#!/usr/bin/awk -f
# Checks JSON lines against support/bounds.txt. Prints each violated bound and exits with status 1 if
# there is one; prints bounds without a measured figure as well.
FNR == 1 { file++ }
file == 1 && $1 == name && NF >= 5 {
    count++
    selector[count] = $2; figure[count] = $3; relation[count] = $4; bound[count] = $5
    next
}
file == 2 && /^\{/ {
    for (i = 1; i <= count; i++) {
        n = split(selector[i], wanted, ","); fits = 1
        for (j = 1; j <= n; j++) {
            split(wanted[j], pair, "=")
            if (index($0, "\"" pair[1] "\":\"" pair[2] "\"") == 0 && index($0, "\"" pair[1] "\":" pair[2] ",") == 0) fits = 0
        }
        if (!fits || !match($0, "\"" figure[i] "\":-?[0-9.eE+-]+")) continue
        value = substr($0, RSTART, RLENGTH); sub(/^[^:]*:/, "", value)
        met[i] = 1
        if ((relation[i] == "<=" && value + 0 > bound[i] + 0) || (relation[i] == ">=" && value + 0 < bound[i] + 0)) {
            print "BROKEN " name " " selector[i] " " figure[i] " = " value ", must be " relation[i] " " bound[i]
            broken = 1
        }
    }
}
END {
    for (i = 1; i <= count; i++) if (!met[i]) print "not measured: " name " " selector[i] " " figure[i]
    exit broken
}
