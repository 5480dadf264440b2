package formation

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

const (
	// leaseDuration is how long the holder acts on the lease after it sent the
	// last successful renewal.
	leaseDuration = 2200 * time.Millisecond
	// renewPeriod allows three attempts within leaseDuration.
	renewPeriod = 700 * time.Millisecond
	// renewRetryDelay is the delay after a renewal without an answer.
	renewRetryDelay = 200 * time.Millisecond
	// leafRetryDelay is the delay after a leaf's attempt without an answer to acquire the
	// lease, as long as the longest backoff of its watch calls. Hubs retry sooner. With
	// renewRetryDelay, 91 nodes made 2,200 calls for the lease in an outage of 8 s.
	leafRetryDelay = 3 * time.Second
	// takeoverTimeout is how long no renewal must be seen before another node
	// acquires the lease. unreachableTakeoverTimeout applies instead if no status
	// of the holder arrives either. Hosts refuse orders of a former holder by
	// their fencing tokens.
	takeoverTimeout            = 2500 * time.Millisecond
	unreachableTakeoverTimeout = 1100 * time.Millisecond
	// renewGrace is how long after a store outage a holder whose status still
	// arrives may renew the lease before another node acquires it. The holder
	// retries its calls at least every 400 ms.
	renewGrace = time.Second
	// handoverGrace is how long a node that received the lease by handover may
	// take to detect that the store does not answer it either. The longest store
	// call takes 1.6 s.
	handoverGrace = 2 * time.Second
	// rankDelay separates the attempts of the candidates in time.
	rankDelay = 120 * time.Millisecond
	// maxRank bounds the delay of the last candidates.
	maxRank = 8
	// replyTimeout is when a store call without a reply counts as lost. It is
	// longer than the timeout of the daemon.
	replyTimeout = 3 * time.Second
)

// lease is the state of the formation lease at this node.
type lease struct {
	row      state.LeaseRow
	revision uint64
	// isHolder is set while this node is the holder according to its own state.
	isHolder   bool
	acquiredAt time.Duration
	validUntil time.Duration
	callID     uint64
	callSentAt time.Duration
	pendingRow state.LeaseRow
	nextTryAt  time.Duration
	// handedOverAt is when a peer handed the lease over during a store outage.
	handedOverAt time.Duration
	// highestToken is the highest fencing token seen in any row of the lease.
	highestToken state.FencingToken
	// outdated is set when this node held the lease in an era of the store that has
	// ended, until it has tried to acquire the lease in the new one.
	outdated bool
}

// eraTokenBits is the number of low bits of a fencing token that count the holders
// of the lease in one era of the store. The first token of an era is higher than all
// tokens of earlier ones, also of those whose rows the store has lost.
const eraTokenBits = 16

// isPlausible reports whether an epoch that a host reports can have been issued: its token
// is below those of the next era. The entry of another writer may name any number, and the
// tokens and epochs above the highest one would not fit their types.
func (s *System) isPlausible(epoch uint64) bool {
	return state.FencingToken(epoch>>epochBits) < max(state.FencingToken(s.managed.StoreEra+1)<<eraTokenBits, 2*s.lease.highestToken)
}

// nextToken returns a fencing token for an acquisition in the current era. It is
// higher than each one that this node has seen in the lease, in an order or in a
// plausible epoch of a group.
func (s *System) nextToken() state.FencingToken {
	highest := s.lease.highestToken
	for _, h := range s.hosts.all() {
		epoch := h.reportedMembership.Epoch
		if h.row != nil {
			epoch = max(epoch, h.row.Membership.Epoch)
		}
		if s.isPlausible(epoch) {
			highest = max(highest, state.FencingToken(epoch>>epochBits))
		}
	}
	return max(highest+1, state.FencingToken(s.managed.StoreEra)<<eraTokenBits)
}

// checkLeaseEra ends the lease if the store has come back from a copy since it was
// acquired or renewed. The copy may lack the lease, and another node may hold it.
func (s *System) checkLeaseEra(now time.Duration, out *state.Outbox) {
	l := &s.lease
	l.highestToken = max(l.highestToken, l.row.FencingToken, s.managed.Lease.Row.FencingToken)
	if l.isHolder && state.EraOf(l.revision) < s.managed.StoreEra {
		s.loseLease(now, "the store came back from a copy", out)
		l.outdated, l.callID = true, 0
	}
}

// holdsLease reports whether this node may send orders. During a store outage
// the lease can neither be renewed nor acquired by another node, so its holder
// continues as long as no peer that it receives status from has an answer of
// the store. If the store answers a node from which no status arrives, hosts
// refuse the orders of the former holder by fencing token and order count.
func (s *System) holdsLease(now time.Duration) bool {
	return s.lease.isHolder && (now < s.lease.validUntil || s.isOutage(now))
}

// isStoreJustBack reports whether the store came back so recently that the
// holder may not have renewed the lease yet.
func (s *System) isStoreJustBack(now time.Duration) bool {
	returnedAt := s.managed.StoreReturnedAt()
	return returnedAt >= 0 && now-returnedAt < renewGrace
}

// maintainLease renews, acquires, hands over or releases the lease.
func (s *System) maintainLease(now time.Duration, out *state.Outbox) {
	l := &s.lease
	if !s.managed.Tables[state.NodeTable].Loaded {
		return
	}
	s.checkLeaseEra(now, out)
	if stored := &s.managed.Lease; l.isHolder && stored.Row.FencingToken > l.row.FencingToken && !s.isOwnRow(&stored.Row) {
		s.loseLease(now, "the stored lease has a higher fencing token", out)
	}
	if s.tables.Draining && l.isHolder && now >= l.validUntil && s.isOutage(now) {
		s.handOverLease(now, out)
	}
	lastCallFailed := s.managed.Tables[state.InstanceTable].LastCallFailed()
	if l.isHolder && now >= l.validUntil && !lastCallFailed && !s.isStoreJustBack(now) && now-l.handedOverAt >= handoverGrace {
		s.loseLease(now, "no lease renewal was confirmed in time", out)
	}
	// Calls from before the recovery of the store are not waited for. If one still
	// takes effect, the next call finds the row of this node.
	if l.callID != 0 && now-l.callSentAt < replyTimeout && l.callSentAt >= s.managed.StoreReturnedAt() || now < l.nextTryAt {
		return
	}
	switch {
	case l.isHolder && (s.tables.Draining || s.managed.ShouldReleaseLease):
		s.writeLease(now, state.LeaseRow{FencingToken: l.row.FencingToken, Renewal: l.row.Renewal + 1, Era: l.row.Era, EraSettled: l.row.EraSettled}, l.revision, out)
	case s.tables.Draining:
	case l.isHolder:
		row := l.row
		row.Renewal++
		if l.handedOverAt > 0 {
			// The token was the former holder's. Its late orders must not pass for those of
			// this node.
			row.FencingToken = s.nextToken()
		}
		row.EraSettled = s.managed.IsEraSettled(now)
		s.writeLease(now, row, l.revision, out)
	case s.mayAcquireLease(now):
		s.writeLease(now, state.LeaseRow{
			Holder: s.tables.Self.ID, Incarnation: s.tables.Self.Incarnation, FencingToken: s.nextToken(), Duration: leaseDuration,
			Era: s.managed.StoreEra, EraSettled: s.managed.IsEraSettled(now),
		}, s.managed.Lease.Revision, out)
	}
}

// handOverLease sends the lease to the next peer by node ID from which status
// arrives. If the message is lost, no group is repaired until the store
// recovers.
func (s *System) handOverLease(now time.Duration, out *state.Outbox) {
	peer := nextPeer(s.managed.PeerStatusAt, s.tables.Self.ID)
	if peer == "" {
		return
	}
	l := &s.lease
	out.Add(state.SendPeer{To: peer, Message: state.Message{LeaseHandover: &state.LeaseHandover{
		FencingToken: l.row.FencingToken, Renewal: l.row.Renewal, Revision: l.revision, IssuedEpochs: s.nextEpoch,
	}}})
	s.loseLease(now, "handed over to peer "+string(peer), out)
}

// nextPeer returns the peer that follows a node by ID, wrapping around after
// the last one. A lease that is handed on by nodes that shut down at the same
// time thus reaches each of them once.
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

// handleLeaseHandover accepts the lease from a holder that shuts down during a
// store outage. This node acts on it once it detects the outage itself, and
// renews it after the store recovers.
func (s *System) handleLeaseHandover(now time.Duration, from state.NodeID, in *state.LeaseHandover, out *state.Outbox) {
	l := &s.lease
	if l.isHolder || state.EraOf(in.Revision) < s.managed.StoreEra || in.FencingToken < s.managed.Lease.Row.FencingToken || in.Revision < s.managed.Lease.Revision {
		return
	}
	l.isHolder, l.acquiredAt, l.handedOverAt, l.revision, l.callID = true, now, now, in.Revision, 0
	l.row = state.LeaseRow{
		Holder: s.tables.Self.ID, Incarnation: s.tables.Self.Incarnation, FencingToken: in.FencingToken, Renewal: in.Renewal, Duration: leaseDuration,
		Era: state.EraOf(in.Revision),
	}
	s.nextEpoch = max(s.nextEpoch, in.IssuedEpochs)
	s.setLeaseExpiry(now)
	s.resetOrders()
	out.Log(event.FormationLeaseAcquired, slog.Uint64("fence", uint64(in.FencingToken)), slog.String("from", string(from)))
}

// isOwnRow reports whether this process wrote a row of the lease.
func (s *System) isOwnRow(row *state.LeaseRow) bool {
	return row.Holder == s.tables.Self.ID && row.Incarnation == s.tables.Self.Incarnation
}

// mayAcquireLease reports whether the lease is free according to the state of
// this node. The write is conditional on the revision of the row, so a wrong
// result changes nothing.
func (s *System) mayAcquireLease(now time.Duration) bool {
	stored := &s.managed.Lease
	if s.managed.PlatformConfig == nil || !s.tables.Config.Fresh || s.managed.ShouldReleaseLease {
		return false
	}
	if !s.managed.WatchesStore && (!s.managed.Hubs[s.tables.Self.ID] || stored.Revision == 0 || stored.Row.Holder != "") {
		return false
	}
	if state.EraOf(s.managed.Tables[state.NodeTable].Revision) < s.managed.StoreEra {
		// The row of the lease is from before the store came back from a copy.
		return false
	}
	if s.lease.outdated {
		return true
	}
	if _, hasPeerStatus := s.managed.PeerStatusAt[stored.Row.Holder]; hasPeerStatus && s.isStoreJustBack(now) {
		return false
	}
	if stored.Row.Holder == "" && !s.managed.WatchesStore {
		// The nodes that watch the store may leave a released lease to the hubs that are better
		// holders, of which none may be among them.
		return now-stored.RenewalSeenAt >= time.Duration(s.rank())*rankDelay
	}
	if stored.Row.Holder == "" || stored.Row.Holder == s.tables.Self.ID {
		return true
	}
	wait := takeoverTimeout
	if _, hasPeerStatus := s.managed.PeerStatusAt[stored.Row.Holder]; !hasPeerStatus {
		wait = unreachableTakeoverTimeout
	}
	return now-stored.RenewalSeenAt > wait+time.Duration(min(s.rank(), maxRank))*rankDelay
}

// rank returns the position of this node among the candidates for the lease. Hubs come before
// all other nodes, and those with larger processor shares before others, which would release the
// lease to them.
func (s *System) rank() int {
	switch {
	case s.managed.Hubs == nil:
		return max(slices.Index(s.managed.Nodes.Keys(), s.tables.Self.ID), 0)
	case s.managed.Hubs[s.tables.Self.ID]:
		hubs := state.SortedKeys(s.managed.Hubs)
		slices.SortStableFunc(hubs, func(a, b state.NodeID) int { return cmp.Compare(s.processorShare(b), s.processorShare(a)) })
		return slices.Index(hubs, s.tables.Self.ID)
	}
	return maxRank
}

func (s *System) processorShare(id state.NodeID) float64 {
	if row := s.managed.Nodes.Get(id); row != nil {
		return row.Entry.ProcessorShare
	}
	return 0
}

func (s *System) writeLease(now time.Duration, row state.LeaseRow, revision uint64, out *state.Outbox) {
	l := &s.lease
	l.callSentAt, l.pendingRow, l.outdated = now, row, false
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
	case !l.isHolder && s.managed.Hubs != nil && !s.managed.Hubs[s.tables.Self.ID]:
		l.nextTryAt = now + leafRetryDelay
	default:
		l.nextTryAt = now + renewRetryDelay
	}
}

func (s *System) applyLeaseRow(row state.LeaseRow, revision uint64, callSentAt time.Duration, out *state.Outbox) {
	l := &s.lease
	if row.Era != state.EraOf(revision) {
		// The row was written, or came back, in an era after the one that its token
		// belongs to.
		s.managed.Lease = state.FormationLease{Row: row, Revision: revision, RenewalSeenAt: callSentAt}
		if l.isHolder {
			s.loseLease(callSentAt, "the store came back from a copy", out)
		}
		return
	}
	l.row, l.revision = row, revision
	if row.Holder != s.tables.Self.ID {
		l.isHolder = false
		s.setLeaseExpiry(0)
		out.Log(event.LeaseReleased, slog.Uint64("fence", uint64(row.FencingToken)))
		return
	}
	l.handedOverAt = 0
	if !l.isHolder {
		l.isHolder, l.acquiredAt = true, callSentAt
		s.resetOrders()
		out.Log(event.FormationLeaseAcquired, slog.Uint64("fence", uint64(row.FencingToken)))
	}
	s.setLeaseExpiry(callSentAt + leaseDuration)
}

// handleLeaseConflict reads the current row. If it is a write of this node
// whose answer was lost, this node holds the lease. Any other row ends its
// lease.
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
		if s.isOwnRow(&row) && (!l.isHolder || row.FencingToken == l.row.FencingToken || row.FencingToken == l.pendingRow.FencingToken) {
			s.applyLeaseRow(row, r.Revision, l.callSentAt, out)
			l.nextTryAt = now
			return
		}
		if r.Revision > s.managed.Lease.Revision {
			s.managed.Lease = state.FormationLease{Row: row, Revision: r.Revision, RenewalSeenAt: now}
		}
	}
	if l.isHolder {
		s.loseLease(now, "another node holds the lease", out)
	}
}

func (s *System) loseLease(now time.Duration, reason string, out *state.Outbox) {
	s.lease.isHolder = false
	s.setLeaseExpiry(0)
	s.lease.nextTryAt = now + renewRetryDelay
	for _, id := range state.SortedKeys(s.plans) {
		delete(s.plans, id)
	}
	for _, h := range s.hosts.all() {
		h.plan = nil
		s.endUnassigned(h, out)
	}
	out.Log(event.FormationLeaseLost, slog.String("reason", reason), slog.Uint64("fence", uint64(s.lease.row.FencingToken)))
}

// setLeaseExpiry also updates the row in Leases, which the lifecycle and
// inventory systems read.
func (s *System) setLeaseExpiry(until time.Duration) {
	s.lease.validUntil = until
	s.tables.Leases.Put(state.FormationLeaseName, &state.Lease{
		DataCentre: state.FormationLeaseName, Row: s.lease.row, Revision: s.lease.revision, ValidUntil: until,
	})
}
