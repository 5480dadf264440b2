package slopes

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"

	"github.com/pkg/errors"
	"gonum.org/v1/gonum/stat"
)

// quantity is one column of Cost.
type quantity struct {
	name string
	unit string
	of   func(Cost) float64
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

// line is a linear fit with the standard error of its slope.
type line struct {
	intercept, slope, err, r2 float64
}

type result struct {
	slope  Slope
	points []Point
	fits   []line
}

func (r *result) fit() {
	for _, q := range quantities {
		y := make([]float64, len(r.points))
		for i, p := range r.points {
			y[i] = q.of(p.Cost)
		}
		r.fits = append(r.fits, fitLine(r.slope.Values, y))
	}
}

// fitLine fits y = intercept + slope·x by least squares.
func fitLine(x, y []float64) line {
	intercept, slope := stat.LinearRegression(x, y, nil, false)
	mean := stat.Mean(x, nil)
	var residual, spread float64
	for i := range x {
		d := y[i] - intercept - slope*x[i]
		residual += d * d
		spread += (x[i] - mean) * (x[i] - mean)
	}
	return line{
		intercept: intercept, slope: slope,
		err: math.Sqrt(residual / float64(len(x)-2) / spread),
		r2:  stat.RSquared(x, y, nil, intercept, slope),
	}
}

// report writes the tables.
func report(w io.Writer, opts Options, results []result, singles []Point) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	printf := func(format string, args ...any) { _, _ = fmt.Fprintf(t, format, args...) }
	printf("control cost of one node, %v of virtual time after at least %v, seed %d\n", opts.Window, opts.Warmup, opts.Seed)
	header := func(name string) {
		printf("\n%s\tnodes\treplicas\tmembers\taccounts\tchanges/day\tserving", name)
		for _, q := range quantities {
			printf("\t%s, %s", q.name, q.unit)
		}
		printf("\tlargest frame, B\ttook\t\n")
	}
	row := func(p Point) {
		l := p.Load
		printf("\t%d\t%d\t%d\t%d\t%d\t%d", l.Nodes, l.Replicas, l.Members, l.Accounts, l.ChangesPerDay, p.Serving)
		for _, q := range quantities {
			printf("\t%.4g", q.of(p.Cost))
		}
		printf("\t%d\t%.1fs\t\n", p.LargestFrame, p.Wall.Seconds())
	}
	for _, r := range results {
		header(r.slope.Name)
		for _, p := range r.points {
			row(p)
		}
	}
	if len(singles) > 0 {
		header("single points")
		for _, p := range singles {
			row(p)
		}
	}
	if err := t.Flush(); err != nil {
		return errors.Wrap(err, "write table")
	}
	printf("\nlinear fits\n\tagainst\tquantity\tunit\tat 0\tslope\terror of slope\tR2\t\n")
	for _, r := range results {
		for i, q := range quantities {
			f := r.fits[i]
			printf("\t%s\t%s\t%s\t%.4g\t%.4g\t%.2g\t%.3f\t\n", r.slope.Name, q.name, q.unit, f.intercept, f.slope, f.err, f.r2)
		}
	}
	return errors.Wrap(t.Flush(), "write fits")
}
