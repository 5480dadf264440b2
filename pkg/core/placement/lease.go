package placement

import (
	"log/slog"
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/rendezvous"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

const (
	// LeaseDuration is for how long a lease lasts without a renewal.
	LeaseDuration = 5 * time.Second
	// leaseMargin is by how much the holder stops earlier than others may take
	// over, so that clocks whose rates differ by up to 10% do no harm.
	leaseMargin = 500 * time.Millisecond
	renewPeriod = time.Second
	// retryDelay is between requests while the platform does not answer.
	retryDelay = 500 * time.Millisecond
	// replyTimeout is when a store request without a reply counts as lost. It
	// is above the daemon's own bound on a call to the platform.
	replyTimeout = 3 * time.Second
	// opMemory is for how long a write of a lease is remembered whose outcome
	// was not seen.
	opMemory = 30 * time.Second

	// rankDelay keeps the candidates for a free lease apart in time.
	rankDelay = 500 * time.Millisecond
	// outsiderDelay is the head start of the nodes of the data centre.
	outsiderDelay = 5 * time.Second
	// maxRank bounds the delay of the last candidates.
	maxRank = 6
	// watchRank is the number of candidates of each data centre that watch its
	// lease closely. The others look at the period of scans, because the table
	// service cannot bear every node's scan each second.
	watchRank = 4
)

// callKind is what a centre's store request is for.
type callKind uint8

const (
	callNone callKind = iota
	callTake
	callRenew
	callRelease
	callChange
	callSettle
)

// call is the one store request of a centre that is in flight.
type call struct {
	kind   callKind
	id     uint64
	sentAt time.Duration
	change *change
}

// centre is a data centre with its placement lease.
type centre struct {
	dc    state.DataCentre
	lease *state.Lease
	rank  int
	// outsider is set while this node belongs to another data centre.
	outsider bool
	// read is set once the lease row, or its absence, was read.
	read bool
	// seenAt is the last time at which the present lease row was read.
	seenAt    time.Duration
	call      call
	settle    *change
	unsettled bool
	nextRenew time.Duration
	// nextTry is the earliest time of the next request after one that failed,
	// so that a platform that is down gets no storm.
	nextTry time.Duration
	// ops holds the send times of writes of the lease by this node.
	ops    map[state.OpID]time.Duration
	tenure *tenure
	hosts  []state.HostID
}

// tenure is what a node knows as the holder of a lease.
type tenure struct {
	since time.Duration
	fence state.FencingToken
	// count numbers the fencing numbers given out in this tenure.
	count uint64
	// ordersFrom is when orders of the former holder have expired.
	ordersFrom time.Duration
	// groupsRead and hostsRead are set once the rows were scanned in this
	// tenure.
	groupsRead bool
	hostsRead  bool
	nextPlan   time.Duration
	// probeFree is until when free hosts are probed.
	probeFree time.Duration
	nextOrder time.Duration
	// admitted holds the bytes of the loads in progress by group.
	admitted map[state.GroupID]int64
	// unloading holds the free hosts whose engines may still hold weights.
	unloading map[state.HostID]struct{}
	// waiting holds the groups for which no domain has enough hosts.
	waiting map[state.GroupID]struct{}
}

func newCentre(dc state.DataCentre) *centre {
	return &centre{
		dc: dc, lease: &state.Lease{DataCentre: dc},
		ops: map[state.OpID]time.Duration{},
	}
}

// held reports whether this node may act as the holder.
func (c *centre) held(now time.Duration) bool {
	return c.tenure != nil && now < c.lease.HeldUntil
}

// rankCandidates orders the registered nodes for the lease of each data centre:
// its own nodes first, each in rendezvous order.
func (s *System) rankCandidates() {
	for _, c := range s.centres {
		mine := rendezvous.Score(string(c.dc), s.t.Self.ID)
		c.outsider = s.t.Self.DataCentre != c.dc
		c.rank = 0
		for _, n := range s.t.Config.Head.Nodes {
			if n.ID == s.t.Self.ID || (n.DataCentre != c.dc) != c.outsider {
				continue
			}
			if rendezvous.Before(rendezvous.Score(string(c.dc), n.ID), n.ID, mine, s.t.Self.ID) {
				c.rank++
			}
		}
	}
}

// takeoverDelay is how long this node leaves a lease that is free to better
// candidates.
func (c *centre) takeoverDelay() time.Duration {
	d := time.Duration(min(c.rank, maxRank)) * rankDelay
	if c.outsider {
		d += outsiderDelay
	}
	return d
}

// mayTake reports whether the lease has been seen free, or unchanged for its
// duration, for long enough.
func (c *centre) mayTake() bool {
	if !c.read {
		return false
	}
	wait := c.takeoverDelay()
	if c.lease.Row.Holder != "" {
		wait += max(c.lease.Row.Duration, LeaseDuration)
	}
	return c.seenAt-c.lease.RenewalSeenAt >= wait
}

// stepLease does what is due for a lease. At most one request of a centre is
// in flight, because each one changes the revision that the next one needs.
func (s *System) stepLease(now time.Duration, c *centre, out *state.Outbox) {
	if c.call.kind != callNone {
		if now-c.call.sentAt < replyTimeout {
			return
		}
		s.unknown(c)
	}
	if now < c.nextTry {
		return
	}
	switch {
	case c.unsettled:
		s.settle(now, c, out)
	case s.t.Draining:
		if c.tenure != nil {
			s.writeLease(now, c, callRelease, out)
		}
	case c.tenure != nil:
		if now >= c.nextRenew {
			s.writeLease(now, c, callRenew, out)
		}
	case c.mayTake():
		s.writeLease(now, c, callTake, out)
	}
}

// nextLease returns the lease row of the next write.
func (s *System) nextLease(c *centre, kind callKind) state.LeaseRow {
	row := c.lease.Row
	row.Holder, row.Incarnation = s.t.Self.ID, s.t.Self.Incarnation
	row.Duration, row.Op = LeaseDuration, s.t.NewOpID()
	row.Renewal++
	switch kind {
	case callTake:
		row.FencingToken++
	case callRelease:
		row.Holder, row.Incarnation = "", 0
	}
	return row
}

func (s *System) writeLease(now time.Duration, c *centre, kind callKind, out *state.Outbox) {
	row := s.nextLease(c, kind)
	if kind == callRelease {
		// The holder stops before others can see the lease free.
		c.lease.HeldUntil = now
	}
	c.remember(now, row.Op)
	c.call = call{kind: kind, sentAt: now}
	c.call.id = s.t.SendStoreRequest(out, name, state.StoreRequest{Transact: &state.Transaction{
		Conditions: []state.Condition{{Key: state.KeyLease(c.dc), Revision: c.lease.Revision}},
		Writes:     []state.Write{{Key: state.KeyLease(c.dc), Value: state.Encode(row)}},
	}})
	c.nextRenew = now + renewPeriod
}

// remember notes the send time of a write of the lease, by which its effect is
// dated however late it is learnt.
func (c *centre) remember(now time.Duration, op state.OpID) {
	for old, at := range c.ops {
		if now-at > opMemory {
			delete(c.ops, old)
		}
	}
	c.ops[op] = now
}

// settle reads back the rows of a request whose answer was lost.
func (s *System) settle(now time.Duration, c *centre, out *state.Outbox) {
	keys := []string{state.KeyLease(c.dc)}
	if c.settle != nil {
		keys = append(keys, c.settle.keys()...)
	}
	c.call = call{kind: callSettle, sentAt: now, change: c.settle}
	c.call.id = s.t.SendStoreRequest(out, name, state.StoreRequest{Read: keys})
}

// unknown ends a request whose effect is not known.
func (s *System) unknown(c *centre) {
	c.unsettled = true
	if c.call.change != nil {
		c.settle = c.call.change
	}
	c.call = call{}
}

// callReplied ends the request of a centre.
func (s *System) callReplied(now time.Duration, c *centre, reply state.StoreReply, out *state.Outbox) {
	done := c.call
	switch reply.Result {
	case state.StoreUnknown:
		if done.kind == callSettle {
			c.nextTry = now + retryDelay
		}
		s.unknown(c)
		return
	case state.StoreUnavailable:
		c.call, c.nextTry = call{}, now+retryDelay
		return
	case state.StoreConflict:
		if done.kind == callChange {
			out.Log(event.PlacementConflict, slog.String("data_centre", string(c.dc)))
		}
	}
	c.call = call{}
	c.unsettled, c.settle = false, nil
	rows := reply.Rows
	s.adoptRows(now, rows, out)
	if reply.Result == state.StoreConflict || done.kind == callSettle {
		keys := []string{state.KeyLease(c.dc)}
		if done.change != nil {
			keys = append(keys, done.change.keys()...)
		}
		s.forgetAbsent(keys, rows)
	}
	if done.change != nil && reply.Result == state.StoreOK {
		s.changeSettled(now, c, done.change, out)
	}
	if done.kind == callRelease && c.tenure == nil {
		out.Log(event.LeaseReleased, slog.String("data_centre", string(c.dc)))
	}
}

// adoptLease takes over a lease row that was read at now.
func (s *System) adoptLease(now time.Duration, row state.StoreRow, out *state.Outbox) {
	c := s.centre(state.DataCentre(row.Key[len(state.PrefixLease):]))
	if c == nil || row.Revision < c.lease.Revision {
		return
	}
	c.read, c.seenAt = true, now
	if row.Revision == c.lease.Revision {
		return
	}
	var value state.LeaseRow
	if state.Decode(row.Value, &value) != nil {
		return
	}
	former := c.lease.Row
	c.lease.Row, c.lease.Revision, c.lease.RenewalSeenAt = value, row.Revision, now
	mine := value.Holder == s.t.Self.ID && value.Incarnation == s.t.Self.Incarnation
	if c.tenure != nil && (!mine || value.FencingToken != c.tenure.fence) {
		s.endTenure(now, c, out)
	}
	if sentAt, ok := c.ops[value.Op]; ok && mine {
		c.lease.HeldUntil = max(c.lease.HeldUntil, sentAt+LeaseDuration-leaseMargin)
		if c.tenure == nil {
			s.beginTenure(now, c, former, out)
		}
	}
	s.t.Leases.Put(c.dc, c.lease)
}

func (s *System) beginTenure(now time.Duration, c *centre, former state.LeaseRow, out *state.Outbox) {
	c.tenure = &tenure{
		since: now, fence: c.lease.Row.FencingToken, ordersFrom: now,
		admitted:  map[state.GroupID]int64{},
		unloading: map[state.HostID]struct{}{},
		waiting:   map[state.GroupID]struct{}{},
	}
	if former.FencingToken > 0 {
		c.tenure.ordersFrom = now + orderExpiry + leaseMargin
	}
	s.groupScan.next, s.hostScan.next = 0, 0
	out.Log(event.LeaseAcquired, slog.String("data_centre", string(c.dc)),
		slog.Uint64("fence", uint64(c.lease.Row.FencingToken)))
}

func (s *System) endTenure(now time.Duration, c *centre, out *state.Outbox) {
	c.tenure = nil
	c.lease.HeldUntil = min(c.lease.HeldUntil, now)
	if c.lease.Row.Holder != "" {
		out.Log(event.LeaseLost, slog.String("data_centre", string(c.dc)),
			slog.String("holder", string(c.lease.Row.Holder)))
	}
}

// leaseAbsent notes that a scan showed no lease row for the centre.
func (c *centre) leaseAbsent(now time.Duration) {
	if c.lease.Revision != 0 {
		return
	}
	if !c.read {
		c.read, c.lease.RenewalSeenAt = true, now
	}
	c.seenAt = now
}

// watchesClosely reports whether this node is among the first candidates for a
// lease.
func (s *System) watchesClosely() bool {
	return slices.ContainsFunc(s.dcs, func(dc state.DataCentre) bool {
		c := s.centres[dc]
		return c.rank < watchRank && (!c.outsider || c.rank == 0)
	})
}
