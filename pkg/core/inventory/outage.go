package inventory

import (
	"log/slog"
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

// outageValidity is how long a detected outage stays in effect. It is
// renewed with each tick, so that a node that was paused does not act on an old
// result.
const outageValidity = 2 * state.TickPeriod

// updateOutage decides whether the store is down for all nodes. As long as it
// answers no node, the formation lease cannot be acquired and the list of
// instances does not change.
func (s *System) updateOutage(now time.Duration, out *state.Outbox) {
	down := s.isStoreDown(now)
	if down {
		s.managed.StoreOutageUntil = now + outageValidity
	}
	if down == s.inOutage {
		return
	}
	s.inOutage = down
	id := event.StoreOutageEnded
	if down {
		id = event.StoreOutageStarted
	}
	out.Log(id, slog.Duration("evidence_age", now-s.managed.Tables[state.OperatorTable].AnsweredAt), slog.Int("peers", len(s.managed.PeerStatusAt)))
}

// isStoreDown reports whether neither this node nor any peer with recent status
// has a recent reply of the store. A node that receives status from less than
// half of its peers may itself be cut off.
func (s *System) isStoreDown(now time.Duration) bool {
	anyCallFailed := false
	for i := range s.managed.Tables {
		table := &s.managed.Tables[i]
		if isRecent(table.Age(now)) {
			return false
		}
		anyCallFailed = anyCallFailed || table.LastCallFailed()
	}
	if !anyCallFailed {
		return false
	}
	recentPeers := 0
	for id, status := range s.peerStatuses {
		if now-s.managed.PeerStatusAt[id] >= peerStatusTimeout {
			continue
		}
		if isRecent(status.StoreReplyAge) || isRecent(status.InstancesAge) {
			return false
		}
		recentPeers++
	}
	return 2*recentPeers >= len(s.peers)
}

// isRecent reports whether the age of a store reply is low enough to rely on
// it. A negative age stands for no reply.
func isRecent(age time.Duration) bool { return age >= 0 && age < maxStoreReplyAge }

// handleHostReport applies the report of a host during a store outage, when the
// list of instances is not updated, and relays it to peers. The row keeps its
// revision, so that the next write of the host to the store replaces it.
func (s *System) handleHostReport(now time.Duration, in state.HostReport, out *state.Outbox) {
	if in.OK && now < s.managed.StoreOutageUntil && s.applyHostState(in.SentAt-state.MaxReportLag, &in.State) {
		s.relayHostState(&in.State, "", out)
	}
}

// handleRelayedHostState applies the state of a host that a peer has relayed. A
// node with a recent store reply ignores it.
func (s *System) handleRelayedHostState(now time.Duration, from state.NodeID, hostState *state.HostState, out *state.Outbox) {
	if isRecent(s.managed.Tables[state.InstanceTable].Age(now)) || !s.applyHostState(now, hostState) {
		return
	}
	if s.hubs[s.tables.Self.ID] {
		s.relayHostState(hostState, from, out)
	}
}

func (s *System) relayHostState(hostState *state.HostState, from state.NodeID, out *state.Outbox) {
	for _, id := range state.SortedKeys(s.linkedPeers) {
		// State from a hub has been sent to all hubs.
		if id != from && (from == "" || !s.hubs[id] || !s.hubs[from]) {
			out.Add(state.SendPeer{To: id, Message: state.Message{HostState: hostState}})
		}
	}
}

// applyHostState updates the row of a host with its state at asOf or later. It
// returns false if the state is of another process start, may be older than the
// row or changes nothing.
func (s *System) applyHostState(asOf time.Duration, hostState *state.HostState) bool {
	old := s.managed.Instances.Get(hostState.Host)
	if old == nil || !hostState.Membership.IsValid() || hostState.StartID != old.StartID || asOf <= max(old.RevisionSeenAt, old.ReportedAt) {
		return false
	}
	if hostState.Membership == old.Membership && hostState.LoadedModel == old.LoadedModel && slices.Equal(hostState.StagedModels, old.StagedModels) {
		return false
	}
	row := *old
	row.Membership, row.LoadedModel, row.StagedModels, row.ReportedAt = hostState.Membership, hostState.LoadedModel, hostState.StagedModels, asOf+state.MaxReportLag
	row.FromCopy = false
	s.managed.Instances.Put(row.ID, &row)
	s.managed.TargetInputsVersion++
	return true
}
