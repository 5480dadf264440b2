package dispatch

import (
	"math"
	"strconv"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/rendezvous"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const (
	// budgetWindow is the sliding window in which requests and retries are counted.
	// The platform's bound applies to 10 s.
	budgetWindow  = 10 * time.Second
	budgetBuckets = 20
	// budgetUse is the part of the platform's bound that the nodes use together, since
	// their windows are not aligned.
	budgetUse = 0.9
)

// retryLimit is what one node may use of the platform's bound on retries.
type retryLimit struct {
	// ratio is the number of retries per request of this node, and base the number in
	// addition, both per window.
	ratio, base float64
	// rounding is added before the sum is rounded down.
	rounding float64
}

// newRetryLimit returns the limit of a service at a node. Each node gets the share of
// its own requests and an equal part of the base.
//
// Load pattern: 295 nodes that each see three requests of a service in 10 s, one in
// seven of which fails. Each node's part of the bound is about one retry. Rounded down
// it would be none at most nodes, and rounded up one at each, which the bound does not
// allow. The parts are rounded up at as many nodes as their fractions add up to, by a
// hash that differs in each window.
func newRetryLimit(self *state.Self, service string, nodes int, now time.Duration) retryLimit {
	score := rendezvous.Score(service+" "+strconv.FormatInt(int64(now/budgetWindow), 10), self.ID)
	return retryLimit{
		ratio: budgetUse * self.RetryRatio, base: budgetUse * float64(self.RetryBase) / float64(max(nodes, 1)),
		rounding: float64(score) / math.MaxUint64,
	}
}

// retryBudget counts the requests and retries of one service at one node.
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
func (b *retryBudget) remaining(now time.Duration, limit retryLimit) int {
	b.advance(now)
	requests, retries := 0, 0
	for i := range budgetBuckets {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	return int(limit.ratio*float64(requests)+limit.base+limit.rounding) - retries
}
