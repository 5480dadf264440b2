package retry

import "time"

const (
	// budgetWindow is the time over which successes and retries are counted.
	budgetWindow  = 10 * time.Second
	budgetBuckets = 10
	// budgetPercent is the share of successes that may be retries, in percent.
	budgetPercent = 20
	// budgetMinRetries lets a caller with few requests retry at all.
	budgetMinRetries = 3
)

// budget bounds retries to a share of successes over a sliding window, so that
// a failure is not multiplied by retries.
type budget struct {
	successes [budgetBuckets]int
	retries   [budgetBuckets]int
	// slot is the number of the current bucket since time zero.
	slot int64
	// totals over the window.
	successSum int
	retrySum   int
}

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
