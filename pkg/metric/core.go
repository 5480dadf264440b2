package metric

import (
	"fmt"
	"reflect"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/daemon"
)

// coreMetrics counts the steps of the decision core, times them by the kind of their
// input, and times the wait of inputs. Only the event loop uses it.
type coreMetrics struct {
	set    *metrics.Set
	steps  *metrics.Counter
	waited *metrics.Histogram
	// durations holds the histogram of each kind of input, so that no step formats its name.
	durations map[reflect.Type]*metrics.Histogram
}

func newCoreMetrics(set *metrics.Set) *coreMetrics {
	return &coreMetrics{
		set: set, steps: set.NewCounter("apricotgrade_core_steps_total"), waited: set.NewHistogram("apricotgrade_daemon_input_wait_seconds"),
		durations: map[reflect.Type]*metrics.Histogram{},
	}
}

func (c *coreMetrics) recordStep(in state.Input, elapsed time.Duration) {
	c.steps.Inc()
	kind := reflect.TypeOf(in)
	duration := c.durations[kind]
	if duration == nil {
		duration = c.set.NewHistogram(fmt.Sprintf("apricotgrade_core_step_seconds{input=%q}", daemon.InputKind(kind)))
		c.durations[kind] = duration
	}
	duration.Update(elapsed.Seconds())
}

// InputWaited implements daemon.Observer.
func (r *Recorder) InputWaited(waited time.Duration) { r.core.waited.Update(waited.Seconds()) }
