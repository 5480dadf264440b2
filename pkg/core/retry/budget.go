package retry

import "time"

const (
	// budgetWindow is the time over which successes and retries are counted, in
	// budgetBuckets buckets of equal length.
	budgetWindow  = 10 * time.Second
	budgetBuckets = 10
	// budgetPercent is the number of retries allowed in the window, in percent of the
	// successes.
	budgetPercent = 20
	// budgetMinRetries is allowed in any window, so that an account or target with few
	// requests can be retried.
	budgetMinRetries = 3
)

// budget bounds retries to a percentage of the successes in a sliding window, so that
// retries do not multiply the load of a failure.
type budget struct {
	successes [budgetBuckets]int
	retries   [budgetBuckets]int
	// slot is the number of the current bucket, counted from time zero.
	slot int64
	// successSum and retrySum are the totals over the window.
	successSum int
	retrySum   int
}

// advance clears the buckets that have left the window.
func (b *budget) advance(now time.Duration) {
	slot := int64(now / (budgetWindow / budgetBuckets))
	for n := 0; b.slot < slot && n < budgetBuckets; n++ {
		b.slot++
		i := b.slot % budgetBuckets
		b.successSum -= b.successes[i]
		b.retrySum -= b.retries[i]
		b.successes[i], b.retries[i] = 0, 0
	}
	b.slot = slot
}

func (b *budget) recordSuccess(now time.Duration) {
	b.advance(now)
	b.successes[b.slot%budgetBuckets]++
	b.successSum++
}

func (b *budget) allowsRetry(now time.Duration) bool {
	b.advance(now)
	return b.retrySum < max(budgetMinRetries, b.successSum*budgetPercent/100)
}

func (b *budget) recordRetry(now time.Duration) {
	b.advance(now)
	b.retries[b.slot%budgetBuckets]++
	b.retrySum++
}

func budgetFor[K comparable](budgets map[K]*budget, key K) *budget {
	b := budgets[key]
	if b == nil {
		b = &budget{}
		budgets[key] = b
	}
	return b
}
