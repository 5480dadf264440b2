package inventory

import (
	"log/slog"
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

// outageVerdictTime is for how long the verdict on an outage holds. It is renewed with
// each tick, so that a node that was paused does not act on one from before.
const outageVerdictTime = 2 * state.TickPeriod

// updateOutage decides whether the store is down for all nodes. While it answers
// nobody, nobody can take the formation lease, and the list of instances stands
// still.
func (s *System) updateOutage(now time.Duration, out *state.Outbox) {
	down := s.isStoreDown(now)
	if down {
		s.managed.StoreOutageUntil = now + outageVerdictTime
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

// isStoreDown reports whether neither this node nor any that it hears has a
// recent answer of the store. A node that hears less than half of its peers may
// itself be the one that is cut off.
func (s *System) isStoreDown(now time.Duration) bool {
	unanswered := false
	for i := range s.managed.Tables {
		view := &s.managed.Tables[i]
		if isRecent(view.Age(now)) {
			return false
		}
		unanswered = unanswered || view.LastCallFailed()
	}
	if !unanswered {
		return false
	}
	peersHeard := 0
	for id, status := range s.peerStatuses {
		if now-s.managed.PeerStatusAt[id] >= peerStatusTimeout {
			continue
		}
		if isRecent(status.StoreReplyAge) || isRecent(status.InstancesAge) {
			return false
		}
		peersHeard++
	}
	return 2*peersHeard >= len(s.peers)
}

// isRecent reports whether the age of an answer of the store, negative for none,
// is one to rely on.
func isRecent(age time.Duration) bool { return age >= 0 && age < maxStoreReplyAge }

// handleHostReport takes the report of a host in an outage of the store, when the list
// of instances says nothing new, and tells the peers. The row keeps its revision,
// so that the host's next write to the store replaces it.
func (s *System) handleHostReport(now time.Duration, in state.HostReport, out *state.Outbox) {
	if in.OK && now < s.managed.StoreOutageUntil && s.applyHostState(in.SentAt-state.MaxReportLag, &in.State) {
		s.relayHostState(&in.State, "", out)
	}
}

// handleRelayedHostState takes the report of a host that a peer has passed on. A node
// that has the store's own answer relies on that.
func (s *System) handleRelayedHostState(now time.Duration, from state.NodeID, h *state.HostState, out *state.Outbox) {
	if isRecent(s.managed.Tables[state.InstanceTable].Age(now)) || !s.applyHostState(now, h) {
		return
	}
	if s.hubs[s.tables.Self.ID] {
		s.relayHostState(h, from, out)
	}
}

func (s *System) relayHostState(h *state.HostState, from state.NodeID, out *state.Outbox) {
	for _, id := range state.SortedKeys(s.linkedPeers) {
		// What comes from a hub has gone to all hubs.
		if id != from && (from == "" || !s.hubs[id] || !s.hubs[from]) {
			out.Add(state.SendPeer{To: id, Message: state.Message{HostState: h}})
		}
	}
}

// applyHostState changes the row of a host by its report, which says how the host
// was at a time or later. It returns false where the report is of another life or
// may be older than the row, or says nothing new.
func (s *System) applyHostState(asOf time.Duration, h *state.HostState) bool {
	old := s.managed.Instances.Get(h.Host)
	if old == nil || h.StartID != old.StartID || asOf <= max(old.RevisionSeenAt, old.ReportedAt) {
		return false
	}
	if h.Membership == old.Membership && h.LoadedModel == old.LoadedModel && slices.Equal(h.StagedModels, old.StagedModels) {
		return false
	}
	row := *old
	row.Membership, row.LoadedModel, row.StagedModels, row.ReportedAt = h.Membership, h.LoadedModel, h.StagedModels, asOf+state.MaxReportLag
	s.managed.Instances.Put(row.ID, &row)
	s.managed.TargetInputsVersion++
	return true
}
