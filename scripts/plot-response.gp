# Response time over the ideal by time of arrival. Set `points` and `plot_file` first.
set terminal svg size 1000,500 dynamic background rgb 'white'
set output plot_file
set logscale y
set xlabel 'arrival, s'
set ylabel 'response over ideal'
set key outside
plot points using 1:(strcol(4) eq 'complete' ? $3 : NaN) with points pointtype 7 pointsize 0.4 title 'complete', \
     points using 1:(strcol(4) eq 'failed' ? $3 : NaN) with points pointtype 2 pointsize 0.6 title 'failed', \
     points using 1:(strcol(4) eq 'not-run' ? $3 : NaN) with points pointtype 1 pointsize 0.6 title 'not-run'
