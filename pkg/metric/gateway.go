package metric

import "github.com/apricotgrade/apricotgrade/pkg/gateway"

// RegisterGateway registers the metrics of the answers relayed to callers.
func (r *Recorder) RegisterGateway(c *gateway.Counters) {
	r.set.NewGauge("apricotgrade_gateway_streams", func() float64 { return float64(c.OpenStreams.Load()) })
	r.set.NewGauge("apricotgrade_gateway_events_total", func() float64 { return float64(c.Events.Load()) })
	r.set.NewGauge("apricotgrade_gateway_repeated_frames_total", func() float64 { return float64(c.RepeatedEvents.Load()) })
	r.set.NewGauge("apricotgrade_gateway_foreign_frames_total", func() float64 { return float64(c.ForeignAnswers.Load()) })
	r.set.NewGauge("apricotgrade_gateway_broken_answers_total", func() float64 { return float64(c.BrokenAnswers.Load()) })
}
