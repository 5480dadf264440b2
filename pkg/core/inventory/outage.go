package inventory

import (
	"log/slog"
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

// outageFor is for how long the verdict on an outage holds. It is renewed with
// each tick, so that a node that was paused does not act on one from before.
const outageFor = 2 * state.TickPeriod

// findOutage decides whether the store is down for all nodes. While it answers
// nobody, nobody can take the formation lease, and the list of instances stands
// still.
func (s *System) findOutage(now time.Duration, out *state.Outbox) {
	down := s.isStoreDown(now)
	if down {
		s.m.StoreOutageUntil = now + outageFor
	}
	if down == s.outage {
		return
	}
	s.outage = down
	id := event.StoreOutageEnded
	if down {
		id = event.StoreOutageStarted
	}
	out.Log(id, slog.Duration("evidence_age", now-s.m.Tables[state.OperatorTable].AnsweredAt), slog.Int("peers", len(s.m.PeerStatusAt)))
}

// isStoreDown reports whether neither this node nor any that it hears has a
// recent answer of the store. A node that hears less than half of its peers may
// itself be the one that is cut off.
func (s *System) isStoreDown(now time.Duration) bool {
	unanswered := false
	for i := range s.m.Tables {
		view := &s.m.Tables[i]
		if isRecent(view.Age(now)) {
			return false
		}
		unanswered = unanswered || view.LastCallFailed()
	}
	if !unanswered {
		return false
	}
	heard := 0
	for id, b := range s.bulletins {
		if now-s.m.PeerStatusAt[id] >= heardFor {
			continue
		}
		if isRecent(b.StoreReplyAge) || isRecent(b.InstancesAge) {
			return false
		}
		heard++
	}
	return 2*heard >= len(s.peers)
}

// isRecent reports whether the age of an answer of the store, negative for none,
// is one to rely on.
func isRecent(age time.Duration) bool { return age >= 0 && age < evidenceFor }

// reported takes the report of a host in an outage of the store, when the list
// of instances says nothing new, and tells the peers. The row keeps its revision,
// so that the host's next write to the store replaces it.
func (s *System) reported(now time.Duration, in state.HostReport, out *state.Outbox) {
	if in.OK && now < s.m.StoreOutageUntil && s.takeHostState(in.SentAt-state.MaxReportLag, &in.State) {
		s.passOnHostState(&in.State, "", out)
	}
}

// relayedHostState takes the report of a host that a peer has passed on. A node
// that has the store's own answer relies on that.
func (s *System) relayedHostState(now time.Duration, from state.NodeID, h *state.HostState, out *state.Outbox) {
	if isRecent(s.m.Tables[state.InstanceTable].Age(now)) || !s.takeHostState(now, h) {
		return
	}
	if s.hubs[s.t.Self.ID] {
		s.passOnHostState(h, from, out)
	}
}

func (s *System) passOnHostState(h *state.HostState, from state.NodeID, out *state.Outbox) {
	for _, id := range state.SortedKeys(s.linked) {
		// What comes from a hub has gone to all hubs.
		if id != from && (from == "" || !s.hubs[id] || !s.hubs[from]) {
			out.Add(state.SendPeer{To: id, Message: state.Message{HostState: h}})
		}
	}
}

// takeHostState changes the row of a host by its report, which says how the host
// was at a time or later. It returns false where the report is of another life or
// may be older than the row, or says nothing new.
func (s *System) takeHostState(asOf time.Duration, h *state.HostState) bool {
	old := s.m.Instances.Get(h.Host)
	if old == nil || h.StartID != old.StartID || asOf <= max(old.RevisionSeenAt, old.ReportedAt) {
		return false
	}
	if h.Membership == old.Membership && h.LoadedModel == old.LoadedModel && slices.Equal(h.StagedModels, old.StagedModels) {
		return false
	}
	row := *old
	row.Membership, row.LoadedModel, row.StagedModels, row.ReportedAt = h.Membership, h.LoadedModel, h.StagedModels, asOf+state.MaxReportLag
	s.m.Instances.Put(row.ID, &row)
	s.m.TargetInputsVersion++
	return true
}
