package formation

import (
	"log/slog"
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

const (
	// leaseTime is for how long the holder acts after the send time of its last
	// renewal.
	leaseTime = 2200 * time.Millisecond
	// renewPeriod leaves three tries within the lease.
	renewPeriod = 700 * time.Millisecond
	// renewRetry is the pause after a renewal without an answer.
	renewRetry = 200 * time.Millisecond
	// takeAfter is how long a renewal must be missing before another node takes
	// over; takeUnheard is the same where the holder's bulletins are missing too.
	// An old holder that still acts is stopped by the fences of the hosts.
	takeAfter   = 2500 * time.Millisecond
	takeUnheard = 1100 * time.Millisecond
	// renewGrace is for how long after an outage of the store a holder that is heard
	// may renew its lease before another node takes it. It retries its calls every
	// 400 ms at most.
	renewGrace = time.Second
	// handoverTime is how long a node to which the lease was handed over may take to
	// find that the store does not answer it either: the longest call of the store
	// takes 1.6 s.
	handoverTime = 2 * time.Second
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
	// held is set while this node is the holder as far as it knows.
	held      bool
	takenAt   time.Duration
	heldUntil time.Duration
	call      uint64
	callAt    time.Duration
	taking    bool
	next      state.LeaseRow
	tryAt     time.Duration
	// handedAt is when a peer handed the lease over in an outage of the store.
	handedAt time.Duration
}

// holds reports whether this node may give orders. In an outage of the store the
// lease cannot be renewed, and nobody else can take it either: its holder goes on
// while no node that it hears has an answer of the store. Should the store answer
// a node that it does not hear, the hosts refuse its orders by their fences and
// counts.
func (s *System) holds(now time.Duration) bool {
	return s.lease.held && (now < s.lease.heldUntil || s.isOutage(now))
}

// isStoreJustBack reports whether the store answers again after an outage for so
// short a time that the holder of the lease may not have renewed it yet.
func (s *System) isStoreJustBack(now time.Duration) bool {
	return s.m.StoreRecoveredAt >= 0 && now-s.m.StoreRecoveredAt < renewGrace
}

// keepLease renews, takes or releases the lease.
func (s *System) keepLease(now time.Duration, out *state.Outbox) {
	l := &s.lease
	if !s.m.Tables[state.NodeTable].Loaded {
		return
	}
	if seen := &s.m.Lease; l.held && seen.Row.FencingToken > l.row.FencingToken {
		s.lost(now, "a higher fence was seen", out)
	}
	if s.t.Draining && l.held && now >= l.heldUntil && s.isOutage(now) {
		s.handOver(now, out)
	}
	unanswered := s.m.Tables[state.InstanceTable].LastCallFailed()
	if l.held && now >= l.heldUntil && !unanswered && !s.isStoreJustBack(now) && now-l.handedAt >= handoverTime {
		s.lost(now, "no renewal was answered in time", out)
	}
	// A call from before the store's return is not waited for. Should it still be
	// carried out, the next one finds this node's own row.
	if l.call != 0 && now-l.callAt < replyTimeout && l.callAt >= s.m.StoreRecoveredAt || now < l.tryAt {
		return
	}
	switch {
	case l.held && (s.t.Draining || s.m.ShouldReleaseLease):
		s.write(now, state.LeaseRow{FencingToken: l.row.FencingToken, Renewal: l.row.Renewal + 1}, l.revision, false, out)
	case s.t.Draining:
	case l.held:
		row := l.row
		row.Renewal++
		s.write(now, row, l.revision, false, out)
	case s.mayTake(now):
		s.write(now, state.LeaseRow{
			Holder: s.t.Self.ID, Incarnation: s.t.Self.Incarnation, FencingToken: s.m.Lease.Row.FencingToken + 1, Duration: leaseTime,
		}, s.m.Lease.Revision, true, out)
	}
}

// handOver gives the lease to the next peer by id that is heard. Should the
// message be lost, no group is mended until the store is back.
func (s *System) handOver(now time.Duration, out *state.Outbox) {
	to := nextHeard(s.m.PeerStatusAt, s.t.Self.ID)
	if to == "" {
		return
	}
	l := &s.lease
	out.Add(state.SendPeer{To: to, Message: state.Message{LeaseHandover: &state.LeaseHandover{
		FencingToken: l.row.FencingToken, Renewal: l.row.Renewal, Revision: l.revision, IssuedEpochs: s.nextEpoch,
	}}})
	s.lost(now, "handed over to "+string(to), out)
}

// nextHeard returns the peer that follows a node in the order of ids, the first
// one after the last. A lease that is handed on by nodes that shut down at the
// same time comes by each of them once.
func nextHeard(heard map[state.NodeID]time.Duration, self state.NodeID) state.NodeID {
	ids := state.SortedKeys(heard)
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

// handedOver takes the lease from a holder that shuts down in an outage of the
// store. This node acts on it once it finds the outage itself, and renews it when
// the store is back.
func (s *System) handedOver(now time.Duration, from state.NodeID, in *state.LeaseHandover, out *state.Outbox) {
	l := &s.lease
	if l.held || in.FencingToken < s.m.Lease.Row.FencingToken || in.Revision < s.m.Lease.Revision {
		return
	}
	l.held, l.takenAt, l.handedAt, l.revision, l.call = true, now, now, in.Revision, 0
	l.row = state.LeaseRow{
		Holder: s.t.Self.ID, Incarnation: s.t.Self.Incarnation, FencingToken: in.FencingToken, Renewal: in.Renewal, Duration: leaseTime,
	}
	s.nextEpoch = max(s.nextEpoch, in.IssuedEpochs)
	s.setHeldUntil(now)
	s.forgetOrders()
	out.Log(event.FormationLeaseAcquired, slog.Uint64("fence", uint64(in.FencingToken)), slog.String("from", string(from)))
}

// mayTake reports whether the lease is free as far as this node can see. The
// write has the row's revision as its condition, so a wrong guess changes
// nothing.
func (s *System) mayTake(now time.Duration) bool {
	seen := &s.m.Lease
	if s.m.PlatformConfig == nil || !s.t.Config.Fresh || !s.m.WatchesStore || s.m.ShouldReleaseLease {
		return false
	}
	if _, heard := s.m.PeerStatusAt[seen.Row.Holder]; heard && s.isStoreJustBack(now) {
		return false
	}
	if seen.Revision == 0 || seen.Row.Holder == "" || seen.Row.Holder == s.t.Self.ID {
		return true
	}
	wait := takeAfter
	if _, heard := s.m.PeerStatusAt[seen.Row.Holder]; !heard {
		wait = takeUnheard
	}
	rank := max(slices.Index(s.m.Nodes.Keys(), s.t.Self.ID), 0)
	return now-seen.RenewalSeenAt > wait+time.Duration(min(rank, maxRank))*rankDelay
}

func (s *System) write(now time.Duration, row state.LeaseRow, revision uint64, taking bool, out *state.Outbox) {
	l := &s.lease
	l.callAt, l.taking, l.next = now, taking, row
	l.tryAt = now + renewPeriod
	l.call = s.t.SendStoreRequest(out, name, state.StoreRequest{Transact: &state.Transaction{
		Conditions: []state.Condition{{Key: state.KeyFormationLease, Revision: revision}},
		Writes:     []state.Write{{Key: state.KeyFormationLease, Value: state.Encode(row)}},
	}})
}

func (s *System) leaseReply(now time.Duration, in state.StoreReply, out *state.Outbox) {
	l := &s.lease
	if !s.t.OwnsReply(name, in) || in.ID != l.call {
		return
	}
	l.call = 0
	switch {
	case in.Result == state.StoreOK && len(in.Rows) == 1:
		s.granted(l.next, in.Rows[0].Revision, l.callAt, out)
	case in.Result == state.StoreConflict:
		s.conflict(now, in.Rows, out)
	default:
		l.tryAt = now + renewRetry
	}
}

func (s *System) granted(row state.LeaseRow, revision uint64, at time.Duration, out *state.Outbox) {
	l := &s.lease
	l.row, l.revision = row, revision
	if row.Holder != s.t.Self.ID {
		l.held = false
		s.setHeldUntil(0)
		out.Log(event.LeaseReleased, slog.Uint64("fence", uint64(row.FencingToken)))
		return
	}
	if !l.held {
		l.held, l.takenAt = true, at
		s.forgetOrders()
		out.Log(event.FormationLeaseAcquired, slog.Uint64("fence", uint64(row.FencingToken)))
	}
	s.setHeldUntil(at + leaseTime)
}

// conflict reads the present row: a write of this node whose answer was lost
// shows there, and any other one ends its hold.
func (s *System) conflict(now time.Duration, rows []state.StoreRow, out *state.Outbox) {
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
		if row.Holder == s.t.Self.ID && row.Incarnation == s.t.Self.Incarnation && (!l.held || row.FencingToken == l.row.FencingToken) {
			s.granted(row, r.Revision, l.callAt, out)
			l.tryAt = now
			return
		}
		if r.Revision > s.m.Lease.Revision {
			s.m.Lease = state.FormationLease{Row: row, Revision: r.Revision, RenewalSeenAt: now}
		}
	}
	if l.held {
		s.lost(now, "another node has the lease", out)
	}
}

func (s *System) lost(now time.Duration, reason string, out *state.Outbox) {
	s.lease.held = false
	s.setHeldUntil(0)
	s.lease.tryAt = now + renewRetry
	for _, id := range state.SortedKeys(s.plans) {
		delete(s.plans, id)
	}
	for _, h := range s.hosts {
		h.plan = nil
	}
	out.Log(event.FormationLeaseLost, slog.String("reason", reason), slog.Uint64("fence", uint64(s.lease.row.FencingToken)))
}

// setHeldUntil also writes the row of Leases, which the lifecycle system and
// the inventory system read.
func (s *System) setHeldUntil(until time.Duration) {
	s.lease.heldUntil = until
	s.t.Leases.Put(state.FormationLeaseName, &state.Lease{
		DataCentre: state.FormationLeaseName, Row: s.lease.row, Revision: s.lease.revision, HeldUntil: until,
	})
}
