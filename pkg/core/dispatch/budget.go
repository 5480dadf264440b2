package dispatch

import (
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/rendezvous"
)

const (
	// budgetWindow is the sliding window in which requests and retries are counted.
	// The platform's bound applies to 10 s.
	budgetWindow  = 10 * time.Second
	budgetBuckets = 20
	// budgetShare is the number of retries per request of a service. It is the
	// platform's bound of 0.2 less a tenth, since the windows of the nodes are not
	// aligned.
	budgetShare = 0.18
	// budgetBase is the number of retries per window over all nodes that the bound
	// allows in addition to the share: 130, less a tenth.
	budgetBase = 117.0
)

// retryBudget limits the retries of one service at one node. The platform's bound
// applies to all nodes together, so each node gets the share of its own requests
// and an equal part of the base.
type retryBudget struct {
	requests [budgetBuckets]int
	retries  [budgetBuckets]int
	// bucket is the number of the current bucket since time 0.
	bucket int64
}

// advance clears the buckets that have left the window and returns the index of
// the current one.
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

// remaining returns how many more retries the node may send now.
func (b *retryBudget) remaining(now time.Duration, nodes int) int {
	b.advance(now)
	requests, retries := 0, 0
	for i := range budgetBuckets {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	return int(budgetShare*float64(requests)+budgetBase/float64(max(nodes, 1))) - retries
}

// coldTokenBucket limits the requests of one node to one cold target. Each sending
// node gets an equal part of the rate that the target can serve, so the limit
// holds over all nodes without coordination.
type coldTokenBucket struct {
	tokens    float64
	updatedAt time.Duration
}

// coldSenders returns how many nodes may send to a cold target that serves rate
// requests per second. If all of them send their first request at the same
// moment, these requests are at most half of what the target serves in a second.
// At least one node may send.
func coldSenders(rate float64, nodes int) int { return max(min(nodes, int(rate/2)), 1) }

// allowColdRequest reports whether this node may send a request to a cold target
// now, and counts the request if so. All nodes select the same senders by
// rendezvous hashing, without coordination.
func (s *System) allowColdRequest(now time.Duration, t *target) bool {
	senders := coldSenders(t.coldRate, s.managed.Nodes.Len())
	if s.managed.Nodes.Len() > senders && !slices.Contains(rendezvous.Rank(string(t.id), s.managed.Nodes.Keys()).First(senders), s.tables.Self.ID) {
		return false
	}
	return t.coldBucket.take(now, t.coldRate/float64(senders))
}

// take reports whether a token is available at the given rate in requests per
// second, and consumes it if so.
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
