package admission

import (
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const (
	// minBusy is the time under a limit after which a service rate is known.
	minBusy = time.Second
	// minSends is the number of waiting requests sent under a limit after which
	// a rate is known. Fewer say little: connections that went silent hold all
	// places for seconds and then free them at once.
	minSends = 8
	// maxBusy is the time over which the rate is averaged.
	maxBusy = 5 * time.Second
	// rateFor is how long a rate holds without waiting requests.
	rateFor = time.Minute
	// serviceWeight is the weight of one request in the usual service time.
	serviceWeight = 16
)

// meter measures the rate at which waiting work is sent. It runs only while a
// limit holds the work back: the throughput without a limit says nothing about
// what would be possible.
type meter struct {
	// cost is the work that waits, in tokens.
	cost    int64
	limited bool
	// busy is the time under the limit, sent the waiting tokens sent in it.
	busy   time.Duration
	sent   int64
	sends  int
	seenAt time.Duration
}

func (m *meter) note(now time.Duration) {
	switch {
	case m.limited && m.cost > 0:
		m.busy += now - m.seenAt
	case now-m.seenAt > rateFor:
		m.busy, m.sent, m.sends = 0, 0, 0
	}
	m.seenAt = now
	if m.busy > maxBusy {
		m.busy /= 2
		m.sent /= 2
		m.sends /= 2
	}
}

func (m *meter) add(now time.Duration, cost int64) {
	m.note(now)
	m.cost += cost
}

func (m *meter) limit(now time.Duration, limited bool) {
	m.note(now)
	m.limited = limited
}

// waited counts work that was sent after it had waited.
func (m *meter) waited(now time.Duration, cost int64) {
	m.note(now)
	m.sent += cost
	m.sends++
}

// time returns how long work takes to be sent, or 0 when nothing holds it back
// or the rate is not known.
func (m *meter) time(now time.Duration, cost float64) time.Duration {
	m.note(now)
	if !m.limited || m.cost == 0 || m.busy < minBusy || m.sends < minSends {
		return 0
	}
	return seconds(cost * m.busy.Seconds() / float64(m.sent))
}

// class is a kind of request that shares targets.
type class struct {
	key     string
	blocked uint64
	meter   meter
	// perToken is the usual service time of one token of cost, in seconds.
	perToken float64
	samples  int
}

func (c *class) served(took time.Duration, cost int64) {
	c.samples++
	per := took.Seconds() / float64(max(cost, 1))
	c.perToken += (per - c.perToken) / float64(min(c.samples, serviceWeight))
}

// wait estimates the time in the queue of a new request and its time of
// service. The account waits for its own work ahead at its share of the class,
// and at most for all work of the class; and for its own concurrency limit.
func (q *queue) wait(now time.Duration, req *state.Request, lane int) (wait, service time.Duration) {
	a, c := q.accountFor(req.Arrival.Account), q.classFor(req)
	cost := max(req.Arrival.CostTokens, 1)
	var own int64
	for l := range min(lane, lanes-1) + 1 {
		for _, f := range a.lanes[l] {
			if f.class == c {
				own += f.cost
			}
		}
	}
	weights := q.weight(a.id)
	for _, other := range q.ring {
		if other != a && other.waitsFor(c) {
			weights += q.weight(other.id)
		}
	}
	fair := float64(own+cost) * float64(weights) / float64(q.weight(a.id))
	wait = c.meter.time(now, min(float64(c.meter.cost+cost), fair))
	wait = max(wait, a.meter.time(now, float64(own+cost)))
	return wait, seconds(c.perToken * float64(cost))
}

func (a *account) waitsFor(c *class) bool {
	for _, lane := range a.lanes {
		for _, f := range lane {
			if f.class == c && f.cost > 0 {
				return true
			}
		}
	}
	return false
}

// expected estimates the wait for all that is queued ahead of a request that
// waited in vain.
func (q *queue) expected(now time.Duration, req *state.Request) time.Duration {
	c := q.classFor(req)
	return c.meter.time(now, float64(c.meter.cost))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
