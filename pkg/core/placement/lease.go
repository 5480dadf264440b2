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
	// LeaseDuration is how long a lease is valid without a renewal.
	LeaseDuration = 5 * time.Second
	// leaseMargin is how much earlier the holder stops than other nodes may
	// take over. It covers clock rates that differ by up to 10%.
	leaseMargin = 500 * time.Millisecond
	renewPeriod = time.Second
	// retryDelay is the time between requests while the platform does not
	// respond.
	retryDelay = 500 * time.Millisecond
	// replyTimeout is the age at which a store request without a reply counts
	// as lost. It is longer than the daemon's own timeout for calls to the
	// platform.
	replyTimeout = 3 * time.Second
	// leaseWriteRetention is how long the send time of a lease write is kept,
	// so that the write is recognised when its outcome becomes known late.
	leaseWriteRetention = 30 * time.Second

	// rankDelay is the difference between the takeover delays of consecutive
	// candidates, so that they do not compete for a free lease.
	rankDelay = 500 * time.Millisecond
	// remoteDelay is the additional takeover delay of nodes of other data
	// centres.
	remoteDelay = 5 * time.Second
	// maxDelayRank limits the takeover delay of the last candidates.
	maxDelayRank = 6
	// frequentScanRanks is the number of candidates per data centre that scan
	// the lease rows every leaseScanPeriod. Other nodes use the general scan
	// period, because the table service cannot serve one scan per second from
	// every node.
	frequentScanRanks = 4
)

// callKind is the purpose of a store request.
type callKind uint8

const (
	callNone callKind = iota
	callAcquire
	callRenew
	callRelease
	callChange
	callReadBack
)

// call is the store request of a data centre that is in flight. There is at
// most one.
type call struct {
	kind      callKind
	requestID uint64
	sentAt    time.Duration
	change    *change
}

// dataCentre is the state of a data centre and its placement lease on this
// node.
type dataCentre struct {
	id    state.DataCentre
	lease *state.Lease
	rank  int
	// remote is set if this node belongs to another data centre.
	remote bool
	// leaseRead is set once the lease row, or its absence, has been read.
	leaseRead bool
	// lastReadAt is when the current lease row was last read.
	lastReadAt time.Duration
	call       call
	// unconfirmedChange is the change of the request whose outcome is unknown,
	// if any.
	unconfirmedChange *change
	// outcomeUnknown is set until the rows of a request without a known
	// outcome have been read.
	outcomeUnknown bool
	nextRenewAt    time.Duration
	// retryAt is the earliest time of the next request after a failed one, so
	// that a platform that is down is not flooded with requests.
	retryAt time.Duration
	// leaseWrites holds the send times of the lease writes of this node.
	leaseWrites map[state.OpID]time.Duration
	term        *term
	hosts       []state.HostID
}

// term is the state of a lease holder while it holds the lease.
type term struct {
	startedAt    time.Duration
	fencingToken state.FencingToken
	// tokenCount is the number of fencing tokens issued in this term.
	tokenCount uint64
	// oldOrdersExpireAt is when all orders of the previous holder have
	// expired.
	oldOrdersExpireAt time.Duration
	// groupsRead and hostsRead are set once a scan sent in this term has
	// returned the rows.
	groupsRead bool
	hostsRead  bool
	nextPlanAt time.Duration
	// probeFreeUntil is the time until which free hosts are probed.
	probeFreeUntil time.Duration
	nextOrderAt    time.Duration
	// admittedBytes holds the bytes of the admitted loads by group.
	admittedBytes map[state.GroupID]int64
	// unloadCandidates holds the free hosts whose engines may still hold
	// weights.
	unloadCandidates map[state.HostID]struct{}
	// unplaceableGroups holds the groups that were logged because no domain
	// has enough hosts for them.
	unplaceableGroups map[state.GroupID]struct{}
}

func newDataCentre(dc state.DataCentre) *dataCentre {
	return &dataCentre{
		id: dc, lease: &state.Lease{DataCentre: dc},
		leaseWrites: map[state.OpID]time.Duration{},
	}
}

// isHolder reports whether this node may act as the holder of the lease.
func (c *dataCentre) isHolder(now time.Duration) bool {
	return c.term != nil && now < c.lease.ValidUntil
}

// rankCandidates computes the rank of this node among the candidates for each
// lease in rendezvous order. Nodes of the data centre and nodes of other data
// centres are ranked separately; remoteDelay puts the latter behind the former.
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

// takeoverDelay returns how long this node leaves a free lease to candidates
// with a better rank.
func (c *dataCentre) takeoverDelay() time.Duration {
	d := time.Duration(min(c.rank, maxDelayRank)) * rankDelay
	if c.remote {
		d += remoteDelay
	}
	return d
}

// canAcquire reports whether the lease has been free for the takeover delay, or
// has been held without a renewal for the lease duration and that delay.
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

// stepLease sends the next lease request if one is due. A data centre has at
// most one request in flight, because each request changes the revision that
// the next one requires.
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

// nextLeaseRow returns the lease row for the next write.
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
		// The holder stops before other nodes can see that the lease is free.
		c.lease.ValidUntil = now
	}
	c.recordLeaseWrite(now, row.Op)
	c.call = call{kind: kind, sentAt: now}
	c.call.requestID = s.tables.SendStoreRequest(out, systemName, state.StoreRequest{Transact: &state.Transaction{
		Conditions: []state.Condition{{Key: state.KeyLease(c.id), Revision: c.lease.Revision}},
		Writes:     []state.Write{{Key: state.KeyLease(c.id), Value: state.Encode(row)}},
	}})
	c.nextRenewAt = now + renewPeriod
}

// recordLeaseWrite records the send time of a lease write. A successful write
// extends the lease from this time, however late its outcome becomes known.
func (c *dataCentre) recordLeaseWrite(now time.Duration, op state.OpID) {
	for oldOp, sentAt := range c.leaseWrites {
		if now-sentAt > leaseWriteRetention {
			delete(c.leaseWrites, oldOp)
		}
	}
	c.leaseWrites[op] = now
}

// readBack reads the rows of a request whose outcome is unknown.
func (s *System) readBack(now time.Duration, c *dataCentre, out *state.Outbox) {
	keys := []string{state.KeyLease(c.id)}
	if c.unconfirmedChange != nil {
		keys = append(keys, c.unconfirmedChange.keys()...)
	}
	c.call = call{kind: callReadBack, sentAt: now, change: c.unconfirmedChange}
	c.call.requestID = s.tables.SendStoreRequest(out, systemName, state.StoreRequest{Read: keys})
}

// markOutcomeUnknown ends a request whose outcome is unknown. Its rows are read
// before the next request.
func (s *System) markOutcomeUnknown(c *dataCentre) {
	c.outcomeUnknown = true
	if c.call.change != nil {
		c.unconfirmedChange = c.call.change
	}
	c.call = call{}
}

// completeCall handles the reply to the request that a data centre has in
// flight.
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

// applyLeaseRow updates the lease of a data centre from a row that was read at
// time now.
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
		c.lease.ValidUntil = max(c.lease.ValidUntil, sentAt+LeaseDuration-leaseMargin)
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
	c.lease.ValidUntil = min(c.lease.ValidUntil, now)
	if c.lease.Row.Holder != "" {
		out.Log(event.LeaseLost, slog.String("data_centre", string(c.id)),
			slog.String("holder", string(c.lease.Row.Holder)))
	}
}

// recordLeaseAbsent records that a scan returned no lease row for the data
// centre.
func (c *dataCentre) recordLeaseAbsent(now time.Duration) {
	if c.lease.Revision != 0 {
		return
	}
	if !c.leaseRead {
		c.leaseRead, c.lease.RenewalSeenAt = true, now
	}
	c.lastReadAt = now
}

// scansLeasesFrequently reports whether this node is among the first candidates
// for a lease.
func (s *System) scansLeasesFrequently() bool {
	return slices.ContainsFunc(s.dataCentreIDs, func(dc state.DataCentre) bool {
		c := s.dataCentres[dc]
		return c.rank < frequentScanRanks && (!c.remote || c.rank == 0)
	})
}
