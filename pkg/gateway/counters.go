package gateway

import "sync/atomic"

// Counters holds the counters of the relay. It is safe for concurrent use.
type Counters struct {
	// OpenStreams is the number of open streams.
	OpenStreams atomic.Int64
	// Events counts the events that were relayed.
	Events atomic.Int64
	// RepeatedEvents counts events that an engine sent again after a resume.
	RepeatedEvents atomic.Int64
	// ForeignAnswers counts dropped answers that belong to another request or attempt.
	ForeignAnswers atomic.Int64
	// BrokenAnswers counts answers that failed or ended before their end marker.
	BrokenAnswers atomic.Int64
}

// Counters returns the counters of the gateway.
func (g *Gateway) Counters() *Counters { return &g.counters }
