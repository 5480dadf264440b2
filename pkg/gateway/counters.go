package gateway

import "sync/atomic"

// Counters holds the counters of the relay. It is safe for concurrent use.
type Counters struct {
	// Streams is the number of open streams.
	Streams atomic.Int64
	// Events counts the events that were relayed.
	Events atomic.Int64
	// RepeatedFrames counts events that an engine sent again after a resume.
	RepeatedFrames atomic.Int64
	// ForeignFrames counts dropped answers that belong to another request or attempt.
	ForeignFrames atomic.Int64
	// Broken counts answers that failed or ended before their end marker.
	Broken atomic.Int64
}

// Counters returns the counters of the gateway.
func (g *Gateway) Counters() *Counters { return &g.counters }
