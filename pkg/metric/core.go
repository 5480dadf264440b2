package metric

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// core measures the decision core.
type core struct {
	steps    *metrics.Counter
	duration *metrics.Histogram
}

func newCore(set *metrics.Set) *core {
	return &core{
		steps:    set.NewCounter("apricotgrade_core_steps_total"),
		duration: set.NewHistogram("apricotgrade_core_step_seconds"),
	}
}

func (c *core) step(took time.Duration) {
	c.steps.Inc()
	c.duration.Update(took.Seconds())
}
