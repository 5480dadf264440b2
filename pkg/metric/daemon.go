package metric

import "github.com/apricotgrade/apricotgrade/pkg/daemon"

// RegisterDaemon registers the metrics of the event loop: its outgoing calls and its
// queued inputs.
func (r *Recorder) RegisterDaemon(c *daemon.Counters, queuedInputs func() int) {
	r.set.NewGauge("apricotgrade_daemon_calls", func() float64 { return float64(c.Calls.Load()) })
	r.set.NewGauge("apricotgrade_daemon_calls_abandoned_total", func() float64 { return float64(c.Abandoned.Load()) })
	r.set.NewGauge("apricotgrade_daemon_inputs_waiting", func() float64 { return float64(queuedInputs()) })
}
