package admission

import (
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const (
	// minLimitedTime is the time under a limit after which the send rate is known.
	minLimitedTime = time.Second
	// minSentCount is the number of queued requests sent under a limit after which
	// the send rate is known. Fewer are not representative: connections that stop
	// sending data occupy all capacity for seconds and then free it at once.
	minSentCount = 8
	// maxLimitedTime is the time over which the rate is averaged. When it is
	// exceeded, all totals are halved, so that old samples lose weight.
	maxLimitedTime = 5 * time.Second
	// rateIdleTimeout is how long a rate stays valid without an update and without
	// queued requests.
	rateIdleTimeout = time.Minute
	// serviceTimeDivisor is the inverse weight of one request in the moving average
	// of the service time.
	serviceTimeDivisor = 16
)

// rateMeter measures the rate at which queued requests are sent, in tokens of cost.
// It measures only while a limit delays them, because the throughput without a limit
// does not show the possible throughput.
type rateMeter struct {
	// queuedCost is the cost of the queued requests, in tokens.
	queuedCost int64
	// limited is set while a limit prevents queued requests from being sent.
	limited bool
	// limitedTime is the time with queued requests under the limit. sentCost and
	// sentCount are the cost, in tokens, and the number of requests sent after a wait.
	limitedTime time.Duration
	sentCost    int64
	sentCount   int
	updatedAt   time.Duration
}

// advance updates the measured time to now.
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

// recordSent counts a request that was sent after a wait.
func (m *rateMeter) recordSent(now time.Duration, cost int64) {
	m.advance(now)
	m.sentCost += cost
	m.sentCount++
}

// drainTime returns the time in which requests of a given cost are sent, or 0 when no
// limit delays them or the rate is not known.
func (m *rateMeter) drainTime(now time.Duration, cost float64) time.Duration {
	m.advance(now)
	if !m.limited || m.queuedCost == 0 || m.limitedTime < minLimitedTime || m.sentCount < minSentCount {
		return 0
	}
	return secondsToDuration(cost * m.limitedTime.Seconds() / float64(m.sentCost))
}

// class is a set of requests that can use the same targets.
type class struct {
	key string
	// blockedEpoch is the capacity epoch in which no target accepted a request.
	blockedEpoch uint64
	meter        rateMeter
	// secondsPerToken is the average service time of one token of cost, in seconds.
	secondsPerToken float64
	samples         int
}

// recordServiceTime adds a successful attempt to the average service time.
func (c *class) recordServiceTime(duration time.Duration, cost int64) {
	c.samples++
	perToken := duration.Seconds() / float64(max(cost, 1))
	c.secondsPerToken += (perToken - c.secondsPerToken) / float64(min(c.samples, serviceTimeDivisor))
}

// estimateWait estimates the queue time and the service time of a new request. The
// request waits for the work of its account ahead of it, which is sent at the
// account's share of the class rate, but at most for all queued work of the class.
// The account's concurrency limit can lengthen the wait.
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

// hasQueuedIn reports whether the account has queued requests of a class.
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

// estimateClassWait estimates the time to send all queued requests in the class of a
// request whose wait has expired.
func (q *fairQueue) estimateClassWait(now time.Duration, req *state.Request) time.Duration {
	c := q.classFor(req)
	return c.meter.drainTime(now, float64(c.meter.queuedCost))
}

func secondsToDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
