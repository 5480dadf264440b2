package metric

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// coreMetrics counts and times the steps of the decision core.
type coreMetrics struct {
	steps    *metrics.Counter
	duration *metrics.Histogram
}

func newCoreMetrics(set *metrics.Set) *coreMetrics {
	return &coreMetrics{
		steps:    set.NewCounter("apricotgrade_core_steps_total"),
		duration: set.NewHistogram("apricotgrade_core_step_seconds"),
	}
}

func (c *coreMetrics) recordStep(elapsed time.Duration) {
	c.steps.Inc()
	c.duration.Update(elapsed.Seconds())
}
