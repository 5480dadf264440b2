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
	// leaseWriteRetention is for how long a write of a lease is remembered whose outcome
	// was not seen.
	leaseWriteRetention = 30 * time.Second

	// rankDelay keeps the candidates for a free lease apart in time.
	rankDelay = 500 * time.Millisecond
	// remoteDelay is the head start of the nodes of the data centre.
	remoteDelay = 5 * time.Second
	// maxDelayRank bounds the delay of the last candidates.
	maxDelayRank = 6
	// frequentScanRanks is the number of candidates of each data centre that watch its
	// lease closely. The others look at the period of scans, because the table
	// service cannot bear every node's scan each second.
	frequentScanRanks = 4
)

// callKind is what a centre's store request is for.
type callKind uint8

const (
	callNone callKind = iota
	callAcquire
	callRenew
	callRelease
	callChange
	callReadBack
)

// call is the one store request of a centre that is in flight.
type call struct {
	kind      callKind
	requestID uint64
	sentAt    time.Duration
	change    *change
}

// dataCentre is a data centre with its placement lease.
type dataCentre struct {
	id    state.DataCentre
	lease *state.Lease
	rank  int
	// remote is set while this node belongs to another data centre.
	remote bool
	// leaseRead is set once the lease row, or its absence, was read.
	leaseRead bool
	// lastReadAt is the last time at which the present lease row was read.
	lastReadAt        time.Duration
	call              call
	unconfirmedChange *change
	outcomeUnknown    bool
	nextRenewAt       time.Duration
	// retryAt is the earliest time of the next request after one that failed,
	// so that a platform that is down gets no storm.
	retryAt time.Duration
	// leaseWrites holds the send times of writes of the lease by this node.
	leaseWrites map[state.OpID]time.Duration
	term        *term
	hosts       []state.HostID
}

// term is what a node knows as the holder of a lease.
type term struct {
	startedAt    time.Duration
	fencingToken state.FencingToken
	// tokenCount numbers the fencing numbers given out in this tenure.
	tokenCount uint64
	// oldOrdersExpireAt is when orders of the former holder have expired.
	oldOrdersExpireAt time.Duration
	// groupsRead and hostsRead are set once the rows were scanned in this
	// tenure.
	groupsRead bool
	hostsRead  bool
	nextPlanAt time.Duration
	// probeFreeUntil is until when free hosts are probed.
	probeFreeUntil time.Duration
	nextOrderAt    time.Duration
	// admittedBytes holds the bytes of the loads in progress by group.
	admittedBytes map[state.GroupID]int64
	// unloadCandidates holds the free hosts whose engines may still hold weights.
	unloadCandidates map[state.HostID]struct{}
	// unplaceableGroups holds the groups for which no domain has enough hosts.
	unplaceableGroups map[state.GroupID]struct{}
}

func newDataCentre(dc state.DataCentre) *dataCentre {
	return &dataCentre{
		id: dc, lease: &state.Lease{DataCentre: dc},
		leaseWrites: map[state.OpID]time.Duration{},
	}
}

// isHolder reports whether this node may act as the holder.
func (c *dataCentre) isHolder(now time.Duration) bool {
	return c.term != nil && now < c.lease.HeldUntil
}

// rankCandidates orders the registered nodes for the lease of each data centre:
// its own nodes first, each in rendezvous order.
func (s *System) rankCandidates() {
	for _, c := range s.dataCentres {
		selfScore := rendezvous.Score(string(c.id), s.tables.Self.ID)
		c.remote = s.tables.Self.DataCentre != c.id
		c.rank = 0
		for _, n := range s.tables.Config.Head.Nodes {
			if n.ID == s.tables.Self.ID || (n.DataCentre != c.id) != c.remote {
				continue
			}
			if rendezvous.Before(rendezvous.Score(string(c.id), n.ID), n.ID, selfScore, s.tables.Self.ID) {
				c.rank++
			}
		}
	}
}

// takeoverDelay is how long this node leaves a lease that is free to better
// candidates.
func (c *dataCentre) takeoverDelay() time.Duration {
	d := time.Duration(min(c.rank, maxDelayRank)) * rankDelay
	if c.remote {
		d += remoteDelay
	}
	return d
}

// canAcquire reports whether the lease has been seen free, or unchanged for its
// duration, for long enough.
func (c *dataCentre) canAcquire() bool {
	if !c.leaseRead {
		return false
	}
	wait := c.takeoverDelay()
	if c.lease.Row.Holder != "" {
		wait += max(c.lease.Row.Duration, LeaseDuration)
	}
	return c.lastReadAt-c.lease.RenewalSeenAt >= wait
}

// stepLease does what is due for a lease. At most one request of a centre is
// in flight, because each one changes the revision that the next one needs.
func (s *System) stepLease(now time.Duration, c *dataCentre, out *state.Outbox) {
	if c.call.kind != callNone {
		if now-c.call.sentAt < replyTimeout {
			return
		}
		s.markOutcomeUnknown(c)
	}
	if now < c.retryAt {
		return
	}
	switch {
	case c.outcomeUnknown:
		s.readBack(now, c, out)
	case s.tables.Draining:
		if c.term != nil {
			s.writeLease(now, c, callRelease, out)
		}
	case c.term != nil:
		if now >= c.nextRenewAt {
			s.writeLease(now, c, callRenew, out)
		}
	case c.canAcquire():
		s.writeLease(now, c, callAcquire, out)
	}
}

// nextLeaseRow returns the lease row of the next write.
func (s *System) nextLeaseRow(c *dataCentre, kind callKind) state.LeaseRow {
	row := c.lease.Row
	row.Holder, row.Incarnation = s.tables.Self.ID, s.tables.Self.Incarnation
	row.Duration, row.Op = LeaseDuration, s.tables.NewOpID()
	row.Renewal++
	switch kind {
	case callAcquire:
		row.FencingToken++
	case callRelease:
		row.Holder, row.Incarnation = "", 0
	}
	return row
}

func (s *System) writeLease(now time.Duration, c *dataCentre, kind callKind, out *state.Outbox) {
	row := s.nextLeaseRow(c, kind)
	if kind == callRelease {
		// The holder stops before others can see the lease free.
		c.lease.HeldUntil = now
	}
	c.recordLeaseWrite(now, row.Op)
	c.call = call{kind: kind, sentAt: now}
	c.call.requestID = s.tables.SendStoreRequest(out, systemName, state.StoreRequest{Transact: &state.Transaction{
		Conditions: []state.Condition{{Key: state.KeyLease(c.id), Revision: c.lease.Revision}},
		Writes:     []state.Write{{Key: state.KeyLease(c.id), Value: state.Encode(row)}},
	}})
	c.nextRenewAt = now + renewPeriod
}

// recordLeaseWrite notes the send time of a write of the lease, by which its effect is
// dated however late it is learnt.
func (c *dataCentre) recordLeaseWrite(now time.Duration, op state.OpID) {
	for oldOp, sentAt := range c.leaseWrites {
		if now-sentAt > leaseWriteRetention {
			delete(c.leaseWrites, oldOp)
		}
	}
	c.leaseWrites[op] = now
}

// readBack reads back the rows of a request whose answer was lost.
func (s *System) readBack(now time.Duration, c *dataCentre, out *state.Outbox) {
	keys := []string{state.KeyLease(c.id)}
	if c.unconfirmedChange != nil {
		keys = append(keys, c.unconfirmedChange.keys()...)
	}
	c.call = call{kind: callReadBack, sentAt: now, change: c.unconfirmedChange}
	c.call.requestID = s.tables.SendStoreRequest(out, systemName, state.StoreRequest{Read: keys})
}

// markOutcomeUnknown ends a request whose effect is not known.
func (s *System) markOutcomeUnknown(c *dataCentre) {
	c.outcomeUnknown = true
	if c.call.change != nil {
		c.unconfirmedChange = c.call.change
	}
	c.call = call{}
}

// completeCall ends the request of a centre.
func (s *System) completeCall(now time.Duration, c *dataCentre, reply state.StoreReply, out *state.Outbox) {
	completed := c.call
	switch reply.Result {
	case state.StoreUnknown:
		if completed.kind == callReadBack {
			c.retryAt = now + retryDelay
		}
		s.markOutcomeUnknown(c)
		return
	case state.StoreUnavailable:
		c.call, c.retryAt = call{}, now+retryDelay
		return
	case state.StoreConflict:
		if completed.kind == callChange {
			out.Log(event.PlacementConflict, slog.String("data_centre", string(c.id)))
		}
	}
	c.call = call{}
	c.outcomeUnknown, c.unconfirmedChange = false, nil
	rows := reply.Rows
	s.applyRows(now, rows, out)
	if reply.Result == state.StoreConflict || completed.kind == callReadBack {
		keys := []string{state.KeyLease(c.id)}
		if completed.change != nil {
			keys = append(keys, completed.change.keys()...)
		}
		s.dropAbsentRows(keys, rows)
	}
	if completed.change != nil && reply.Result == state.StoreOK {
		s.completeChange(now, c, completed.change, out)
	}
	if completed.kind == callRelease && c.term == nil {
		out.Log(event.LeaseReleased, slog.String("data_centre", string(c.id)))
	}
}

// applyLeaseRow takes over a lease row that was read at now.
func (s *System) applyLeaseRow(now time.Duration, row state.StoreRow, out *state.Outbox) {
	c := s.dataCentre(state.DataCentre(row.Key[len(state.PrefixLease):]))
	if c == nil || row.Revision < c.lease.Revision {
		return
	}
	c.leaseRead, c.lastReadAt = true, now
	if row.Revision == c.lease.Revision {
		return
	}
	var value state.LeaseRow
	if state.Decode(row.Value, &value) != nil {
		return
	}
	previous := c.lease.Row
	c.lease.Row, c.lease.Revision, c.lease.RenewalSeenAt = value, row.Revision, now
	heldBySelf := value.Holder == s.tables.Self.ID && value.Incarnation == s.tables.Self.Incarnation
	if c.term != nil && (!heldBySelf || value.FencingToken != c.term.fencingToken) {
		s.endTerm(now, c, out)
	}
	if sentAt, ok := c.leaseWrites[value.Op]; ok && heldBySelf {
		c.lease.HeldUntil = max(c.lease.HeldUntil, sentAt+LeaseDuration-leaseMargin)
		if c.term == nil {
			s.startTerm(now, c, previous, out)
		}
	}
	s.tables.Leases.Put(c.id, c.lease)
}

func (s *System) startTerm(now time.Duration, c *dataCentre, previous state.LeaseRow, out *state.Outbox) {
	c.term = &term{
		startedAt: now, fencingToken: c.lease.Row.FencingToken, oldOrdersExpireAt: now,
		admittedBytes:     map[state.GroupID]int64{},
		unloadCandidates:  map[state.HostID]struct{}{},
		unplaceableGroups: map[state.GroupID]struct{}{},
	}
	if previous.FencingToken > 0 {
		c.term.oldOrdersExpireAt = now + orderTTL + leaseMargin
	}
	s.groupScan.nextAt, s.hostScan.nextAt = 0, 0
	out.Log(event.LeaseAcquired, slog.String("data_centre", string(c.id)),
		slog.Uint64("fence", uint64(c.lease.Row.FencingToken)))
}

func (s *System) endTerm(now time.Duration, c *dataCentre, out *state.Outbox) {
	c.term = nil
	c.lease.HeldUntil = min(c.lease.HeldUntil, now)
	if c.lease.Row.Holder != "" {
		out.Log(event.LeaseLost, slog.String("data_centre", string(c.id)),
			slog.String("holder", string(c.lease.Row.Holder)))
	}
}

// recordLeaseAbsent notes that a scan showed no lease row for the centre.
func (c *dataCentre) recordLeaseAbsent(now time.Duration) {
	if c.lease.Revision != 0 {
		return
	}
	if !c.leaseRead {
		c.leaseRead, c.lease.RenewalSeenAt = true, now
	}
	c.lastReadAt = now
}

// scansLeasesFrequently reports whether this node is among the first candidates for a
// lease.
func (s *System) scansLeasesFrequently() bool {
	return slices.ContainsFunc(s.dataCentreIDs, func(dc state.DataCentre) bool {
		c := s.dataCentres[dc]
		return c.rank < frequentScanRanks && (!c.remote || c.rank == 0)
	})
}
