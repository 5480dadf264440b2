package dispatch

import (
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/rendezvous"
)

const (
	// budgetWindow is the time over which requests and repeats are counted. The
	// platform's bound is over 10 s.
	budgetWindow  = 10 * time.Second
	budgetBuckets = 20
	// budgetShare is the part of a service's requests that may be sent again, by
	// the platform's bound of 0.2 less a tenth for requests that nodes count in
	// different windows.
	budgetShare = 0.18
	// budgetBase is the number of repeats over all nodes that the bound allows
	// besides the share: 130, less a tenth.
	budgetBase = 117.0
)

// retryBudget bounds the repeats of one service at one node. The bound holds
// for the system: each node has the share of its own requests and an equal part
// of the base.
type retryBudget struct {
	requests [budgetBuckets]int
	retries  [budgetBuckets]int
	bucket   int64
}

func (b *retryBudget) advance(now time.Duration) int64 {
	bucket := int64(now / (budgetWindow / budgetBuckets))
	for n := 0; b.bucket < bucket && n < budgetBuckets; n++ {
		b.bucket++
		b.requests[b.bucket%budgetBuckets], b.retries[b.bucket%budgetBuckets] = 0, 0
	}
	b.bucket = max(b.bucket, bucket)
	return b.bucket % budgetBuckets
}

func (b *retryBudget) countRequest(now time.Duration) { b.requests[b.advance(now)]++ }

func (b *retryBudget) countRetry(now time.Duration) { b.retries[b.advance(now)]++ }

// remaining returns how many more repeats the node may send now.
func (b *retryBudget) remaining(now time.Duration, nodes int) int {
	b.advance(now)
	requests, retries := 0, 0
	for i := range budgetBuckets {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	return int(budgetShare*float64(requests)+budgetBase/float64(max(nodes, 1))) - retries
}

// coldTokenBucket bounds the requests that one node sends to one cold target. Each
// node has an equal part of the rate that the target bears, so that the sum
// holds without contact between the nodes.
type coldTokenBucket struct {
	tokens    float64
	updatedAt time.Duration
}

// coldSenders returns how many nodes may send to a cold target, so that the
// first request of each, sent at one moment, is half of what the target bears in
// a second.
func coldSenders(rate float64, nodes int) int { return max(min(nodes, int(rate/2)), 1) }

// allowColdRequest reports whether this node may send a request to a cold target now,
// and counts it. All nodes choose the same senders, without contact.
func (s *System) allowColdRequest(now time.Duration, t *target) bool {
	senders := coldSenders(t.coldRate, s.managed.Nodes.Len())
	if s.managed.Nodes.Len() > senders && !slices.Contains(rendezvous.Rank(string(t.id), s.managed.Nodes.Keys()).First(senders), s.tables.Self.ID) {
		return false
	}
	return t.coldBucket.take(now, t.coldRate/float64(senders))
}

// take reports whether a request may be sent now, and counts it.
func (b *coldTokenBucket) take(now time.Duration, rate float64) bool {
	burst := max(rate/4, 1)
	b.tokens = min(b.tokens+rate*(now-b.updatedAt).Seconds(), burst)
	b.updatedAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
