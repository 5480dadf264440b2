package admission

import (
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const (
	// minLimitedTime is the time under a limit after which a service rate is known.
	minLimitedTime = time.Second
	// minSentCount is the number of waiting requests sent under a limit after which
	// a rate is known. Fewer say little: connections that went silent hold all
	// places for seconds and then free them at once.
	minSentCount = 8
	// maxLimitedTime is the time over which the rate is averaged.
	maxLimitedTime = 5 * time.Second
	// rateIdleTimeout is how long a rate holds without waiting requests.
	rateIdleTimeout = time.Minute
	// serviceTimeDivisor is the weight of one request in the usual service time.
	serviceTimeDivisor = 16
)

// rateMeter measures the rate at which waiting work is sent. It runs only while a
// limit holds the work back: the throughput without a limit says nothing about
// what would be possible.
type rateMeter struct {
	// queuedCost is the work that waits, in tokens.
	queuedCost int64
	limited    bool
	// limitedTime is the time under the limit, sent the waiting tokens sent in it.
	limitedTime time.Duration
	sentCost    int64
	sentCount   int
	updatedAt   time.Duration
}

func (m *rateMeter) advance(now time.Duration) {
	switch {
	case m.limited && m.queuedCost > 0:
		m.limitedTime += now - m.updatedAt
	case now-m.updatedAt > rateIdleTimeout:
		m.limitedTime, m.sentCost, m.sentCount = 0, 0, 0
	}
	m.updatedAt = now
	if m.limitedTime > maxLimitedTime {
		m.limitedTime /= 2
		m.sentCost /= 2
		m.sentCount /= 2
	}
}

func (m *rateMeter) addQueued(now time.Duration, cost int64) {
	m.advance(now)
	m.queuedCost += cost
}

func (m *rateMeter) setLimited(now time.Duration, limited bool) {
	m.advance(now)
	m.limited = limited
}

// recordSent counts work that was sent after it had waited.
func (m *rateMeter) recordSent(now time.Duration, cost int64) {
	m.advance(now)
	m.sentCost += cost
	m.sentCount++
}

// drainTime returns how long work takes to be sent, or 0 when nothing holds it back
// or the rate is not known.
func (m *rateMeter) drainTime(now time.Duration, cost float64) time.Duration {
	m.advance(now)
	if !m.limited || m.queuedCost == 0 || m.limitedTime < minLimitedTime || m.sentCount < minSentCount {
		return 0
	}
	return secondsToDuration(cost * m.limitedTime.Seconds() / float64(m.sentCost))
}

// class is a kind of request that shares targets.
type class struct {
	key          string
	blockedEpoch uint64
	meter        rateMeter
	// secondsPerToken is the usual service time of one token of cost, in seconds.
	secondsPerToken float64
	samples         int
}

func (c *class) recordServiceTime(duration time.Duration, cost int64) {
	c.samples++
	perToken := duration.Seconds() / float64(max(cost, 1))
	c.secondsPerToken += (perToken - c.secondsPerToken) / float64(min(c.samples, serviceTimeDivisor))
}

// estimateWait estimates the time in the queue of a new request and its time of
// service. The account waits for its own work ahead at its share of the class,
// and at most for all work of the class; and for its own concurrency limit.
func (q *fairQueue) estimateWait(now time.Duration, req *state.Request, lane int) (wait, serviceTime time.Duration) {
	a, c := q.accountQueueFor(req.Arrival.Account), q.classFor(req)
	cost := max(req.Arrival.CostTokens, 1)
	var ownCost int64
	for l := range min(lane, laneCount-1) + 1 {
		for _, f := range a.lanes[l] {
			if f.class == c {
				ownCost += f.cost
			}
		}
	}
	totalWeight := q.weight(a.id)
	for _, other := range q.ring {
		if other != a && other.hasQueuedIn(c) {
			totalWeight += q.weight(other.id)
		}
	}
	fairCost := float64(ownCost+cost) * float64(totalWeight) / float64(q.weight(a.id))
	wait = c.meter.drainTime(now, min(float64(c.meter.queuedCost+cost), fairCost))
	wait = max(wait, a.meter.drainTime(now, float64(ownCost+cost)))
	return wait, secondsToDuration(c.secondsPerToken * float64(cost))
}

func (a *accountQueue) hasQueuedIn(c *class) bool {
	for _, lane := range a.lanes {
		for _, f := range lane {
			if f.class == c && f.cost > 0 {
				return true
			}
		}
	}
	return false
}

// estimateClassWait estimates the wait for all that is queued ahead of a request that
// waited in vain.
func (q *fairQueue) estimateClassWait(now time.Duration, req *state.Request) time.Duration {
	c := q.classFor(req)
	return c.meter.drainTime(now, float64(c.meter.queuedCost))
}

func secondsToDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
