package dispatch

import (
	"math"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/rendezvous"
)

const (
	// coldBurstTime is the time in which a cold target serves as many requests as it
	// bears at once in addition to its rate. The platform allows half as many again in
	// one second.
	coldBurstTime = 500 * time.Millisecond
	// limitBurstTime is the same for a target that names a limit, of which the platform
	// allows half as much again in 4 s.
	limitBurstTime = 2 * time.Second
	// minLimitRate is the least rate in requests per second at which a target that names a
	// limit gets requests. Only an answer shows that the limit has ended.
	minLimitRate = 0.1
	// maxBoundedWait stands for any wait that is longer than a caller waits.
	maxBoundedWait = 10 * time.Minute
)

// rateBound bounds the requests that a target gets from all nodes together.
type rateBound struct {
	// rate is the number of requests per second.
	rate float64
	// burst is the number of requests that the target bears at once in addition.
	burst float64
}

func newRateBound(rate float64, burstTime time.Duration) rateBound {
	return rateBound{rate, rate * burstTime.Seconds()}
}

// senders returns how many nodes may send to the target. If all of them send their first
// request at the same moment, these are no more than burst. At least one node may send.
func (b rateBound) senders(nodes int) int { return max(int(min(float64(nodes), b.burst)), 1) }

// rateShare is the part of a rateBound that one node may use.
//
// Load pattern: all nodes send to a target at once, and none knows how much the others
// send. The nodes that may send, senders of them, are the first in rendezvous order, so
// that all nodes select the same ones without coordination. Each gets an equal part of
// the rate and keeps at most depth unused requests, which is half of its part of the
// burst, and at least one. A part of less than one request a second is kept by few nodes,
// since with a request for each of 295 nodes a target with a limit of 4 a second would
// get 295 at once.
type rateShare struct {
	bound rateBound
	// nodesVersion is that of the nodes for which the share was computed.
	nodesVersion uint64
	// rate is 0 if the node may not send.
	rate, depth float64
	tokens      float64
	updatedAt   time.Duration
}

// set computes the share of one of the senders, or of a node that may not send. The first
// requests need not wait.
func (r *rateShare) set(now time.Duration, bound rateBound, senders int, isSender bool) {
	r.refill(now)
	isFirst := r.bound == rateBound{}
	r.bound, r.rate, r.depth = bound, 0, 0
	if isSender {
		r.rate, r.depth = bound.rate/float64(senders), max(bound.burst/2/float64(senders), 1)
	}
	if isFirst {
		r.tokens = r.depth
	}
}

// refill adds the tokens since the last update.
func (r *rateShare) refill(now time.Duration) {
	r.tokens = min(r.tokens+r.rate*(now-r.updatedAt).Seconds(), r.depth)
	r.updatedAt = now
}

// wait returns the time until the node may send a request, which is at most maxBoundedWait.
func (r *rateShare) wait(now time.Duration) time.Duration {
	r.refill(now)
	switch {
	case r.tokens >= 1:
		return 0
	case r.rate == 0:
		return maxBoundedWait
	}
	return min(time.Duration(math.Ceil((1-r.tokens)/r.rate*float64(time.Second))), maxBoundedWait)
}

// take consumes the token of a request.
func (r *rateShare) take(now time.Duration) {
	r.refill(now)
	r.tokens--
}

// share returns this node's share of the bound on a target, or nil if the target is
// bounded by its slots only. Of two bounds the tighter one holds.
func (s *System) share(now time.Duration, t *target) *rateShare {
	bound, bounded := rateBound{}, false
	if now < t.coldUntil {
		bound, bounded = newRateBound(t.coldRate, coldBurstTime), true
	}
	if limit, ok := s.managed.Limit(t.id, t.startID); ok {
		named := newRateBound(max(limit, minLimitRate), limitBurstTime)
		if !bounded {
			bound, bounded = named, true
		}
		bound = rateBound{min(bound.rate, named.rate), min(bound.burst, named.burst)}
	}
	if !bounded {
		return nil
	}
	if len(s.changedNodes.Take()) > 0 {
		s.nodesVersion++
	}
	share := &t.share
	if share.bound != bound || share.nodesVersion != s.nodesVersion {
		senders := bound.senders(s.managed.Nodes.Len())
		isSender := rendezvous.Position(string(t.id), s.managed.Nodes.Keys(), s.tables.Self.ID) < senders
		share.set(now, bound, senders, isSender)
		share.nodesVersion = s.nodesVersion
	}
	return share
}

// boundedWait returns the time until this node may send a request at a position in the
// queue of a pool, as far as the bounds on its targets decide it.
//
// Load pattern: all replicas of a service name limits, in sum half of its traffic. The
// rate at which attempts have ended until then promises twice the rate of the shares.
// Requests that would wait in vain are refused at once, and their callers return when
// a share allows it.
func (s *System) boundedWait(now time.Duration, pool *targetPool, position int) time.Duration {
	if len(pool.targets) == 0 {
		return 0
	}
	first, rate := maxBoundedWait, 0.0
	for _, t := range pool.targets {
		share := s.share(now, t)
		if share == nil {
			return 0
		}
		first, rate = min(first, share.wait(now)), rate+share.rate
	}
	if rate == 0 {
		return maxBoundedWait
	}
	return first + time.Duration(float64(position-1)/rate*float64(time.Second))
}
