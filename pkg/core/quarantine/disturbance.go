package quarantine

import "time"

const (
	// disturbanceTime is the time within which targets that end count as one. It leaves time for a
	// report to reach all nodes, and is shorter than the time to the next first event.
	disturbanceTime = 25 * time.Millisecond
	// reportJitter is by how much the times of two reports of a node may differ at another one.
	reportJitter = 2 * time.Millisecond
	// minDisturbed is the number of processes that end within disturbanceTime by a cause that they
	// have in common. A faulty trait ends one after the other.
	minDisturbed = 3
	// maxDisturbances bounds the moments that are remembered.
	maxDisturbances = 64
)

// disturbances holds the latest moments at which processes have ended, in ascending order.
type disturbances struct {
	moments []endMoment
	// changed is set since a moment has become a disturbance.
	changed bool
}

// endMoment counts the processes that ended within disturbanceTime.
type endMoment struct {
	since     time.Duration
	processes int
}

// add records the end of a process while it answered a request that was sent at sentAt.
func (d *disturbances) add(at, sentAt time.Duration) {
	if n := len(d.moments); n > 0 && d.moments[n-1].holds(at, sentAt) {
		d.moments[n-1].processes++
		d.changed = d.changed || d.moments[n-1].processes == minDisturbed
		return
	}
	if len(d.moments) >= maxDisturbances {
		d.moments = append(d.moments[:0], d.moments[1:]...)
	}
	d.moments = append(d.moments, endMoment{at, 1})
}

// has reports whether a loss at a time, of a request that was sent at sentAt, was part of a
// disturbance.
func (d *disturbances) has(at, sentAt time.Duration) bool {
	for i := len(d.moments) - 1; i >= 0 && at <= d.moments[i].since+disturbanceTime; i-- {
		if d.moments[i].holds(at, sentAt) && d.moments[i].processes >= minDisturbed {
			return true
		}
	}
	return false
}

// takeChanged reports whether a moment has become a disturbance since the last call.
func (d *disturbances) takeChanged() bool {
	changed := d.changed
	d.changed = false
	return changed
}

// holds reports whether a loss is part of the moment. A request that was sent after its first end
// may be the repeat that ends the next target.
func (m endMoment) holds(at, sentAt time.Duration) bool {
	return at >= m.since && at-m.since < disturbanceTime && sentAt <= m.since-reportJitter
}
