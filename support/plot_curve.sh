#!/usr/bin/env bash
# Plots docs/placement_curve.csv as docs/placement_curve.svg. Requires the package gnuplot-nox.
set -eu
cd "$(dirname "$0")/.."
gnuplot <<'GNUPLOT'
set datafile separator ","
set terminal svg size 720,420 font "sans,12"
set output "docs/placement_curve.svg"
set title "Waiting against packing over the waiting weight from 0 to 1"
set xlabel "mean wait, s"
set ylabel "use of the fullest resource"
set key bottom right
set grid
plot for [shape in "tabara liit"] "docs/placement_curve.csv" \
    using (strcol(1) eq shape ? $3 / 1000 : NaN):6 with points pointtype 7 title shape
GNUPLOT
