package formation

import (
	"log/slog"
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

const (
	// leaseDuration is for how long the holder acts after the send time of its last
	// renewal.
	leaseDuration = 2200 * time.Millisecond
	// renewPeriod leaves three tries within the lease.
	renewPeriod = 700 * time.Millisecond
	// renewRetryDelay is the pause after a renewal without an answer.
	renewRetryDelay = 200 * time.Millisecond
	// takeoverTimeout is how long a renewal must be missing before another node takes
	// over; takeUnheard is the same where the holder's bulletins are missing too.
	// An old holder that still acts is stopped by the fences of the hosts.
	takeoverTimeout            = 2500 * time.Millisecond
	unreachableTakeoverTimeout = 1100 * time.Millisecond
	// renewGrace is for how long after an outage of the store a holder that is heard
	// may renew its lease before another node takes it. It retries its calls every
	// 400 ms at most.
	renewGrace = time.Second
	// handoverGrace is how long a node to which the lease was handed over may take to
	// find that the store does not answer it either: the longest call of the store
	// takes 1.6 s.
	handoverGrace = 2 * time.Second
	// rankDelay keeps the candidates apart in time.
	rankDelay = 120 * time.Millisecond
	// maxRank bounds the delay of the last candidates.
	maxRank = 8
	// replyTimeout is when a call without a reply counts as lost. It is above the
	// daemon's own bound.
	replyTimeout = 3 * time.Second
)

// lease is this node's side of the formation lease.
type lease struct {
	row      state.LeaseRow
	revision uint64
	// isHolder is set while this node is the holder as far as it knows.
	isHolder   bool
	acquiredAt time.Duration
	validUntil time.Duration
	callID     uint64
	callSentAt time.Duration
	acquiring  bool
	pendingRow state.LeaseRow
	nextTryAt  time.Duration
	// handedOverAt is when a peer handed the lease over in an outage of the store.
	handedOverAt time.Duration
}

// holdsLease reports whether this node may give orders. In an outage of the store the
// lease cannot be renewed, and nobody else can take it either: its holder goes on
// while no node that it hears has an answer of the store. Should the store answer
// a node that it does not hear, the hosts refuse its orders by their fences and
// counts.
func (s *System) holdsLease(now time.Duration) bool {
	return s.lease.isHolder && (now < s.lease.validUntil || s.isOutage(now))
}

// isStoreJustBack reports whether the store answers again after an outage for so
// short a time that the holder of the lease may not have renewed it yet.
func (s *System) isStoreJustBack(now time.Duration) bool {
	return s.managed.StoreRecoveredAt >= 0 && now-s.managed.StoreRecoveredAt < renewGrace
}

// maintainLease renews, takes or releases the lease.
func (s *System) maintainLease(now time.Duration, out *state.Outbox) {
	l := &s.lease
	if !s.managed.Tables[state.NodeTable].Loaded {
		return
	}
	if stored := &s.managed.Lease; l.isHolder && stored.Row.FencingToken > l.row.FencingToken {
		s.loseLease(now, "a higher fence was seen", out)
	}
	if s.tables.Draining && l.isHolder && now >= l.validUntil && s.isOutage(now) {
		s.handOverLease(now, out)
	}
	unanswered := s.managed.Tables[state.InstanceTable].LastCallFailed()
	if l.isHolder && now >= l.validUntil && !unanswered && !s.isStoreJustBack(now) && now-l.handedOverAt >= handoverGrace {
		s.loseLease(now, "no renewal was answered in time", out)
	}
	// A call from before the store's return is not waited for. Should it still be
	// carried out, the next one finds this node's own row.
	if l.callID != 0 && now-l.callSentAt < replyTimeout && l.callSentAt >= s.managed.StoreRecoveredAt || now < l.nextTryAt {
		return
	}
	switch {
	case l.isHolder && (s.tables.Draining || s.managed.ShouldReleaseLease):
		s.writeLease(now, state.LeaseRow{FencingToken: l.row.FencingToken, Renewal: l.row.Renewal + 1}, l.revision, false, out)
	case s.tables.Draining:
	case l.isHolder:
		row := l.row
		row.Renewal++
		s.writeLease(now, row, l.revision, false, out)
	case s.mayAcquireLease(now):
		s.writeLease(now, state.LeaseRow{
			Holder: s.tables.Self.ID, Incarnation: s.tables.Self.Incarnation, FencingToken: s.managed.Lease.Row.FencingToken + 1, Duration: leaseDuration,
		}, s.managed.Lease.Revision, true, out)
	}
}

// handOverLease gives the lease to the next peer by id that is heard. Should the
// message be lost, no group is mended until the store is back.
func (s *System) handOverLease(now time.Duration, out *state.Outbox) {
	peer := nextPeer(s.managed.PeerStatusAt, s.tables.Self.ID)
	if peer == "" {
		return
	}
	l := &s.lease
	out.Add(state.SendPeer{To: peer, Message: state.Message{LeaseHandover: &state.LeaseHandover{
		FencingToken: l.row.FencingToken, Renewal: l.row.Renewal, Revision: l.revision, IssuedEpochs: s.nextEpoch,
	}}})
	s.loseLease(now, "handed over to "+string(peer), out)
}

// nextPeer returns the peer that follows a node in the order of ids, the first
// one after the last. A lease that is handed on by nodes that shut down at the
// same time comes by each of them once.
func nextPeer(peerStatusAt map[state.NodeID]time.Duration, self state.NodeID) state.NodeID {
	ids := state.SortedKeys(peerStatusAt)
	if len(ids) == 0 {
		return ""
	}
	for _, id := range ids {
		if id > self {
			return id
		}
	}
	return ids[0]
}

// handleLeaseHandover takes the lease from a holder that shuts down in an outage of the
// store. This node acts on it once it finds the outage itself, and renews it when
// the store is back.
func (s *System) handleLeaseHandover(now time.Duration, from state.NodeID, in *state.LeaseHandover, out *state.Outbox) {
	l := &s.lease
	if l.isHolder || in.FencingToken < s.managed.Lease.Row.FencingToken || in.Revision < s.managed.Lease.Revision {
		return
	}
	l.isHolder, l.acquiredAt, l.handedOverAt, l.revision, l.callID = true, now, now, in.Revision, 0
	l.row = state.LeaseRow{
		Holder: s.tables.Self.ID, Incarnation: s.tables.Self.Incarnation, FencingToken: in.FencingToken, Renewal: in.Renewal, Duration: leaseDuration,
	}
	s.nextEpoch = max(s.nextEpoch, in.IssuedEpochs)
	s.setLeaseExpiry(now)
	s.resetOrders()
	out.Log(event.FormationLeaseAcquired, slog.Uint64("fence", uint64(in.FencingToken)), slog.String("from", string(from)))
}

// mayAcquireLease reports whether the lease is free as far as this node can see. The
// write has the row's revision as its condition, so a wrong guess changes
// nothing.
func (s *System) mayAcquireLease(now time.Duration) bool {
	stored := &s.managed.Lease
	if s.managed.PlatformConfig == nil || !s.tables.Config.Fresh || !s.managed.WatchesStore || s.managed.ShouldReleaseLease {
		return false
	}
	if _, hasPeerStatus := s.managed.PeerStatusAt[stored.Row.Holder]; hasPeerStatus && s.isStoreJustBack(now) {
		return false
	}
	if stored.Revision == 0 || stored.Row.Holder == "" || stored.Row.Holder == s.tables.Self.ID {
		return true
	}
	wait := takeoverTimeout
	if _, hasPeerStatus := s.managed.PeerStatusAt[stored.Row.Holder]; !hasPeerStatus {
		wait = unreachableTakeoverTimeout
	}
	rank := max(slices.Index(s.managed.Nodes.Keys(), s.tables.Self.ID), 0)
	return now-stored.RenewalSeenAt > wait+time.Duration(min(rank, maxRank))*rankDelay
}

func (s *System) writeLease(now time.Duration, row state.LeaseRow, revision uint64, acquiring bool, out *state.Outbox) {
	l := &s.lease
	l.callSentAt, l.acquiring, l.pendingRow = now, acquiring, row
	l.nextTryAt = now + renewPeriod
	l.callID = s.tables.SendStoreRequest(out, systemName, state.StoreRequest{Transact: &state.Transaction{
		Conditions: []state.Condition{{Key: state.KeyFormationLease, Revision: revision}},
		Writes:     []state.Write{{Key: state.KeyFormationLease, Value: state.Encode(row)}},
	}})
}

func (s *System) handleLeaseReply(now time.Duration, in state.StoreReply, out *state.Outbox) {
	l := &s.lease
	if !s.tables.OwnsReply(systemName, in) || in.ID != l.callID {
		return
	}
	l.callID = 0
	switch {
	case in.Result == state.StoreOK && len(in.Rows) == 1:
		s.applyLeaseRow(l.pendingRow, in.Rows[0].Revision, l.callSentAt, out)
	case in.Result == state.StoreConflict:
		s.handleLeaseConflict(now, in.Rows, out)
	default:
		l.nextTryAt = now + renewRetryDelay
	}
}

func (s *System) applyLeaseRow(row state.LeaseRow, revision uint64, at time.Duration, out *state.Outbox) {
	l := &s.lease
	l.row, l.revision = row, revision
	if row.Holder != s.tables.Self.ID {
		l.isHolder = false
		s.setLeaseExpiry(0)
		out.Log(event.LeaseReleased, slog.Uint64("fence", uint64(row.FencingToken)))
		return
	}
	if !l.isHolder {
		l.isHolder, l.acquiredAt = true, at
		s.resetOrders()
		out.Log(event.FormationLeaseAcquired, slog.Uint64("fence", uint64(row.FencingToken)))
	}
	s.setLeaseExpiry(at + leaseDuration)
}

// handleLeaseConflict reads the present row: a write of this node whose answer was lost
// shows there, and any other one ends its hold.
func (s *System) handleLeaseConflict(now time.Duration, rows []state.StoreRow, out *state.Outbox) {
	l := &s.lease
	for _, r := range rows {
		var row state.LeaseRow
		if r.Key != state.KeyFormationLease {
			continue
		}
		if err := state.Decode(r.Value, &row); err != nil {
			out.Log(event.RowUnreadable, slog.String("key", r.Key), slog.String("error", err.Error()))
			continue
		}
		if row.Holder == s.tables.Self.ID && row.Incarnation == s.tables.Self.Incarnation && (!l.isHolder || row.FencingToken == l.row.FencingToken) {
			s.applyLeaseRow(row, r.Revision, l.callSentAt, out)
			l.nextTryAt = now
			return
		}
		if r.Revision > s.managed.Lease.Revision {
			s.managed.Lease = state.FormationLease{Row: row, Revision: r.Revision, RenewalSeenAt: now}
		}
	}
	if l.isHolder {
		s.loseLease(now, "another node has the lease", out)
	}
}

func (s *System) loseLease(now time.Duration, reason string, out *state.Outbox) {
	s.lease.isHolder = false
	s.setLeaseExpiry(0)
	s.lease.nextTryAt = now + renewRetryDelay
	for _, id := range state.SortedKeys(s.plans) {
		delete(s.plans, id)
	}
	for _, h := range s.hosts {
		h.plan = nil
	}
	out.Log(event.FormationLeaseLost, slog.String("reason", reason), slog.Uint64("fence", uint64(s.lease.row.FencingToken)))
}

// setLeaseExpiry also writes the row of Leases, which the lifecycle system and
// the inventory system read.
func (s *System) setLeaseExpiry(until time.Duration) {
	s.lease.validUntil = until
	s.tables.Leases.Put(state.FormationLeaseName, &state.Lease{
		DataCentre: state.FormationLeaseName, Row: s.lease.row, Revision: s.lease.revision, HeldUntil: until,
	})
}
