package slopes

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"

	"github.com/pkg/errors"
	"gonum.org/v1/gonum/stat"
)

// quantity is one field of Cost as a column of the report.
type quantity struct {
	name  string
	unit  string
	value func(Cost) float64
}

var quantities = []quantity{
	{"cpu", "% of a core", func(c Cost) float64 { return c.CPU }},
	{"memory", "MiB", func(c Cost) float64 { return c.Memory }},
	{"peer bytes", "B/s", func(c Cost) float64 { return c.PeerBytes }},
	{"table reads", "1/s", func(c Cost) float64 { return c.Reads }},
	{"probes", "1/s", func(c Cost) float64 { return c.Probes }},
	{"table writes", "1/s", func(c Cost) float64 { return c.Writes }},
	{"table bytes", "B/s", func(c Cost) float64 { return c.TableBytes }},
	{"host lists", "1/s", func(c Cost) float64 { return c.HostLists }},
	{"load reads", "1/s", func(c Cost) float64 { return c.Loads }},
	{"peer frames", "1/s", func(c Cost) float64 { return c.PeerFrames }},
	{"pings", "B/s", func(c Cost) float64 { return c.PingBytes }},
}

// linearFit is a linear fit with the standard error of its slope and the
// coefficient of determination.
type linearFit struct {
	intercept, slope, slopeError, r2 float64
}

// result holds the measured points of a sweep and one fit for each quantity.
type result struct {
	sweep  Sweep
	points []Point
	fits   []linearFit
}

func (r *result) fitQuantities() {
	for _, q := range quantities {
		y := make([]float64, len(r.points))
		for i, p := range r.points {
			y[i] = q.value(p.Cost)
		}
		r.fits = append(r.fits, fitLine(r.sweep.Values, y))
	}
}

// fitLine fits y = intercept + slope·x by least squares.
func fitLine(x, y []float64) linearFit {
	intercept, slope := stat.LinearRegression(x, y, nil, false)
	mean := stat.Mean(x, nil)
	var residualSquares, deviationSquares float64
	for i := range x {
		residual := y[i] - intercept - slope*x[i]
		residualSquares += residual * residual
		deviationSquares += (x[i] - mean) * (x[i] - mean)
	}
	return linearFit{
		intercept: intercept, slope: slope,
		slopeError: math.Sqrt(residualSquares / float64(len(x)-2) / deviationSquares),
		r2:         stat.RSquared(x, y, nil, intercept, slope),
	}
}

// writeReport writes the table of points and the table of fits.
func writeReport(w io.Writer, opts Options, results []result, singlePoints []Point) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	printf := func(format string, args ...any) { _, _ = fmt.Fprintf(tw, format, args...) }
	printf("control cost of one node, %v of virtual time after at least %v, seed %d\n", opts.Window, opts.Warmup, opts.Seed)
	writeHeader := func(name string) {
		printf("\n%s\tnodes\treplicas\tmembers\taccounts\tchanges/day\tserving", name)
		for _, q := range quantities {
			printf("\t%s, %s", q.name, q.unit)
		}
		printf("\tlargest frame, B\ttook\t\n")
	}
	writeRow := func(p Point) {
		l := p.Load
		printf("\t%d\t%d\t%d\t%d\t%d\t%d", l.Nodes, l.Replicas, l.Members, l.Accounts, l.ChangesPerDay, p.ServingGroups)
		for _, q := range quantities {
			printf("\t%.4g", q.value(p.Cost))
		}
		printf("\t%d\t%.1fs\t\n", p.LargestFrame, p.WallTime.Seconds())
	}
	for _, r := range results {
		writeHeader(r.sweep.Name)
		for _, p := range r.points {
			writeRow(p)
		}
	}
	if len(singlePoints) > 0 {
		writeHeader("single points")
		for _, p := range singlePoints {
			writeRow(p)
		}
	}
	if err := tw.Flush(); err != nil {
		return errors.Wrap(err, "write table")
	}
	printf("\nlinear fits\n\tagainst\tquantity\tunit\tat 0\tslope\terror of slope\tR2\t\n")
	for _, r := range results {
		for i, q := range quantities {
			fit := r.fits[i]
			printf("\t%s\t%s\t%s\t%.4g\t%.4g\t%.2g\t%.3f\t\n", r.sweep.Name, q.name, q.unit, fit.intercept, fit.slope, fit.slopeError, fit.r2)
		}
	}
	return errors.Wrap(tw.Flush(), "write fits")
}
