package daemon

import (
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// Observer receives each step of the core. The loop calls it, so it must not
// block.
type Observer interface {
	// Step receives the time on the node's clock at the start of the step, the
	// input, the outputs and the duration of the step.
	Step(now time.Duration, in state.Input, outputs []state.Output, duration time.Duration)
	// InputWaited receives how long an input has waited for the event loop.
	InputWaited(waited time.Duration)
}

// Observe sets the observer. It must be called before Run.
func (d *Daemon) Observe(o Observer) { d.observer = o }

// Now returns the time on the node's clock.
func (d *Daemon) Now() time.Duration { return time.Since(d.start) }

// stepCore runs one step of the core, publishes a changed configuration and calls
// the observer.
func (d *Daemon) stepCore(in state.Input) []state.Output {
	now := d.Now()
	outputs := d.node.Step(now, in)
	d.publish()
	if d.observer != nil {
		d.observer.Step(now, in, outputs, d.Now()-now)
	}
	return outputs
}
