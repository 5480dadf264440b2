package gateway

import "sync/atomic"

// Counters counts what the relay saw. It is safe for concurrent use.
type Counters struct {
	// Streams is the number of open streams.
	Streams atomic.Int64
	// Events counts the events that were passed on.
	Events atomic.Int64
	// RepeatedFrames counts events that an engine sent again after a resume.
	RepeatedFrames atomic.Int64
	// ForeignFrames counts answers that belong to another request or attempt.
	ForeignFrames atomic.Int64
	// Broken counts answers that ended without their end marker.
	Broken atomic.Int64
}

// Counters returns the counters of the gateway.
func (g *Gateway) Counters() *Counters { return &g.counters }
