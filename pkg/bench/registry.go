// Package bench lists the measurements of the command line: decisions against
// their simplest baselines, added latency, the data path of an entry daemon,
// and the slopes of control cost for capacity planning.
package bench

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"os"

	"github.com/pkg/errors"

	"github.com/apricotgrade/apricotgrade/internal/gozero"
	"github.com/apricotgrade/apricotgrade/pkg/bench/decisions"
	"github.com/apricotgrade/apricotgrade/pkg/bench/latency"
	"github.com/apricotgrade/apricotgrade/pkg/bench/slopes"
)

// Options are the options that all measurements share.
type Options struct {
	// Seed drives all random choices of a run.
	Seed uint64
	// JSON selects JSON instead of text output.
	JSON bool
	// Out receives the figures.
	Out io.Writer
	// Args are the arguments after the name of the measurement.
	Args []string
}

// Measurement is a measurement that can be run from the command line.
type Measurement struct {
	Name     string
	Synopsis string
	// Run measures and writes its figures to Options.Out.
	Run func(ctx context.Context, o Options) error
}

// All returns the measurements sorted by name. Add new measurements here.
func All() []Measurement {
	return []Measurement{
		{Name: "datapath", Synopsis: "processor time and memory of an entry daemon for each request, token and open stream", Run: runDataPath},
		{Name: "decisions", Synopsis: "each decision against its simplest baseline, in virtual time", Run: runDecisions},
		{Name: "latency", Synopsis: "time, memory and processor time that an entry node adds to a direct call", Run: runLatency},
		{Name: "slopes", Synopsis: "control cost of a node against nodes, groups, members, accounts and changes; [PLOT.png [design]]", Run: runSlopes},
	}
}

func runDecisions(_ context.Context, o Options) error {
	if o.JSON || len(o.Args) > 0 {
		return errors.New("decisions takes no arguments and has no JSON output")
	}
	return decisions.Run(o.Out, decisions.Options{Seed: o.Seed})
}

func runDataPath(ctx context.Context, o Options) error {
	if o.JSON || len(o.Args) > 0 {
		return errors.New("datapath takes no arguments and has no JSON output")
	}
	return slopes.RunDataPath(ctx, o.Out, slopes.DefaultDataPathOptions())
}

func runLatency(ctx context.Context, o Options) error {
	report, err := latency.Measure(ctx, latency.Options{})
	if err != nil {
		return err
	}
	if o.JSON {
		return errors.Wrap(json.NewEncoder(o.Out).Encode(report), "write figures")
	}
	return report.Write(o.Out)
}

func runSlopes(_ context.Context, o Options) error {
	// The HTTP library collects statistics and logs on its own in every process
	// that links it.
	gozero.Quiet(slog.New(slog.DiscardHandler))
	// A run takes minutes, so each point is printed as soon as it is measured.
	opts := slopes.Options{Seed: o.Seed, Progress: os.Stderr}
	plotPath := ""
	switch {
	case o.JSON:
		return errors.New("slopes has no JSON output; run it without --json")
	case len(o.Args) > 2 || len(o.Args) == 2 && o.Args[1] != "design":
		return errors.New("slopes takes at most the plot file and the word design; design measures fractions of the design scale and a platform outage instead of the default sweeps")
	case len(o.Args) == 2:
		opts.Sweeps = []slopes.Sweep{slopes.DesignScaleSweep(), slopes.OutageSweep()}
	}
	if len(o.Args) > 0 {
		plotPath = o.Args[0]
	}
	return slopes.Run(o.Out, plotPath, opts)
}

// Find returns the measurement with the given name.
func Find(name string) (Measurement, bool) {
	for _, m := range All() {
		if m.Name == name {
			return m, true
		}
	}
	return Measurement{}, false
}
