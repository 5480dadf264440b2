package metric

import "github.com/apricotgrade/apricotgrade/pkg/gateway"

// Gateway registers the metrics of the answers relayed to callers.
func (r *Recorder) Gateway(c *gateway.Counters) {
	r.set.NewGauge("apricotgrade_gateway_streams", func() float64 { return float64(c.Streams.Load()) })
	r.set.NewGauge("apricotgrade_gateway_events_total", func() float64 { return float64(c.Events.Load()) })
	r.set.NewGauge("apricotgrade_gateway_repeated_frames_total", func() float64 { return float64(c.RepeatedFrames.Load()) })
	r.set.NewGauge("apricotgrade_gateway_foreign_frames_total", func() float64 { return float64(c.ForeignFrames.Load()) })
	r.set.NewGauge("apricotgrade_gateway_broken_answers_total", func() float64 { return float64(c.Broken.Load()) })
}
