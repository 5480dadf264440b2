package metric

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/apricotgrade/apricotgrade/pkg/connlimit"
	"github.com/apricotgrade/apricotgrade/pkg/gateway"
	"github.com/apricotgrade/apricotgrade/pkg/memory"
)

// RegisterGateway registers the metrics of the answers relayed to callers.
func (r *Recorder) RegisterGateway(c *gateway.Counters) {
	r.set.NewGauge("apricotgrade_gateway_streams", func() float64 { return float64(c.OpenStreams.Load()) })
	r.set.NewGauge("apricotgrade_gateway_events_total", func() float64 { return float64(c.Events.Load()) })
	r.set.NewGauge("apricotgrade_gateway_repeated_frames_total", func() float64 { return float64(c.RepeatedEvents.Load()) })
	r.set.NewGauge("apricotgrade_gateway_foreign_frames_total", func() float64 { return float64(c.ForeignAnswers.Load()) })
	r.set.NewGauge("apricotgrade_gateway_broken_answers_total", func() float64 { return float64(c.BrokenAnswers.Load()) })
}

// routedMetrics counts the connections that a managed node closes without a complete
// answer.
type routedMetrics struct {
	set          *metrics.Set
	unreadBodies *metrics.Counter
}

func newRoutedMetrics(set *metrics.Set) *routedMetrics {
	return &routedMetrics{set: set, unreadBodies: set.NewCounter("apricotgrade_request_bodies_unread_total")}
}

var _ gateway.RoutedMeter = (*Recorder)(nil)

// AnswerAborted implements gateway.RoutedMeter.
func (r *Recorder) AnswerAborted(code string) {
	r.routed.set.GetOrCreateCounter(fmt.Sprintf("apricotgrade_answers_aborted_total{code=%q}", code)).Inc()
}

// BodyUnread implements gateway.RoutedMeter.
func (r *Recorder) BodyUnread() { r.routed.unreadBodies.Inc() }

// BodyRefused implements gateway.RoutedMeter.
func (r *Recorder) BodyRefused(code string) {
	r.routed.set.GetOrCreateCounter(fmt.Sprintf("apricotgrade_request_bodies_refused_total{code=%q}", code)).Inc()
}

// RequestAbandoned implements gateway.RoutedMeter.
func (r *Recorder) RequestAbandoned(stage string) {
	r.routed.set.GetOrCreateCounter(fmt.Sprintf("apricotgrade_requests_abandoned_total{stage=%q}", stage)).Inc()
}

// RegisterConnections registers the connections of a listener and what they hold.
func (r *Recorder) RegisterConnections(listener string, p *connlimit.Pool) {
	r.set.NewGauge(fmt.Sprintf("apricotgrade_connections{listener=%q}", listener), func() float64 { return float64(p.Connections()) })
	r.set.NewGauge(fmt.Sprintf("apricotgrade_connection_memory_bytes{listener=%q}", listener), func() float64 { return float64(p.Held()) })
}

// ConnectionClosed implements connlimit.Meter.
func (r *Recorder) ConnectionClosed(listener string, reason connlimit.Reason) {
	r.set.GetOrCreateCounter(fmt.Sprintf("apricotgrade_connections_closed_total{listener=%q,reason=%q}", listener, reason)).Inc()
}

// RegisterMemory registers the memory that requests and answers hold.
func (r *Recorder) RegisterMemory(b *memory.Budget) {
	r.set.NewGauge("apricotgrade_request_memory_bytes", func() float64 { return float64(b.Used()) })
}
