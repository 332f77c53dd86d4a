# Fits y = a + b*x by least squares to two columns of a CSV file and prints a line
# for slopes.csv.
#
# Variables: name, x and y (names of columns), x_unit, y_unit, command. Optional:
# `where` and `is` select the rows whose column `where` equals `is`; x_scale and
# y_scale are factors for x and y.
BEGIN { FS = ","; if (x_scale == "") x_scale = 1; if (y_scale == "") y_scale = 1 }
NR == 1 {
  for (i = 1; i <= NF; i++) column[$i] = i
  if (!(x in column) || !(y in column) || (where != "" && !(where in column))) {
    print "fit.awk: " FILENAME " has no column " x ", " y " or " where > "/dev/stderr"
    failed = 1
    exit 1
  }
  next
}
where != "" && $(column[where]) != is { next }
{
  n++
  xs[n] = $(column[x]) * x_scale
  ys[n] = $(column[y]) * y_scale
  sum_x += xs[n]
  sum_y += ys[n]
  sizes = sizes (n > 1 ? " " : "") xs[n]
}
END {
  if (failed) exit 1
  if (n < 3) {
    print "fit.awk: " name " has " n + 0 " sizes; at least 3 are needed" > "/dev/stderr"
    exit 1
  }
  mean_x = sum_x / n
  mean_y = sum_y / n
  for (i = 1; i <= n; i++) {
    xx += (xs[i] - mean_x) ^ 2
    xy += (xs[i] - mean_x) * (ys[i] - mean_y)
  }
  if (xx == 0) {
    print "fit.awk: " name " has only one distinct size" > "/dev/stderr"
    exit 1
  }
  slope = xy / xx
  intercept = mean_y - slope * mean_x
  for (i = 1; i <= n; i++) squared_residuals += (ys[i] - intercept - slope * xs[i]) ^ 2
  error = sqrt(squared_residuals / (n - 2) / xx)
  printf "%s,%s,%s,%.6g,%.6g,%.6g,%s,%s\n", name, x_unit, y_unit, intercept, slope, error, sizes, command
}
