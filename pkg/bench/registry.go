// Package bench measures decisions against their simplest baselines, added
// latency, and slopes for capacity.
package bench

import (
	"context"
	"io"
)

// Options are those of all measurements.
type Options struct {
	// Seed drives all random choices of a run.
	Seed uint64
	// JSON asks for the figures as JSON in place of text.
	JSON bool
	// Out receives the figures.
	Out io.Writer
	// Args are the arguments behind the name of the measurement.
	Args []string
}

// Bench is one measurement.
type Bench struct {
	Name     string
	Synopsis string
	// Run measures and writes its figures to Options.Out.
	Run func(ctx context.Context, o Options) error
}

// All returns the measurements in order of name. A new one is added here.
func All() []Bench { return nil }

// Find returns the measurement with a name.
func Find(name string) (Bench, bool) {
	for _, b := range All() {
		if b.Name == name {
			return b, true
		}
	}
	return Bench{}, false
}
