package daemon

import (
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// Observer sees each step of the core. It is called by the loop and must not
// block.
type Observer interface {
	// Step receives the node's time, the input, the outputs and how long the
	// step took.
	Step(now time.Duration, in state.Input, outputs []state.Output, duration time.Duration)
}

// Observe sets the observer. It must be called before Run.
func (d *Daemon) Observe(o Observer) { d.observer = o }

// Now returns the time on the node's clock.
func (d *Daemon) Now() time.Duration { return time.Since(d.start) }

// stepCore runs one step of the core.
func (d *Daemon) stepCore(in state.Input) []state.Output {
	now := d.Now()
	outputs := d.node.Step(now, in)
	d.publish()
	if d.observer != nil {
		d.observer.Step(now, in, outputs, d.Now()-now)
	}
	return outputs
}
