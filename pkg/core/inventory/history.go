package inventory

import (
	"log/slog"
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

// historyTimeout is how long a node that starts waits for the history of a peer after
// it has read the store. Links between running nodes come up within a few
// milliseconds.
const historyTimeout = time.Second

// startup is the progress of a node towards the history that its peers remember. The
// store may have been restored from a copy that lacks a withdrawn key, an evacuation
// or the departure of an instance, and instances announce their departure to nodes
// before the store.
type startup struct {
	// known is set once this node knows as much as its peers, or has waited for
	// historyTimeout.
	known bool
	// readAt is when this node had read the store; negative before that.
	readAt time.Duration
	// history is the history received before this node had read the store.
	history *state.History
	// emptyReplies holds the peers that are starting themselves.
	emptyReplies map[state.NodeID]bool
}

func newStartup() startup {
	return startup{readAt: -1, emptyReplies: map[state.NodeID]bool{}}
}

// handleHistory handles a peer's answer to the request for its history.
func (s *System) handleHistory(from state.NodeID, history *state.History) {
	switch {
	case s.startup.known:
	case history.Loaded:
		s.startup.history = history
	default:
		s.startup.emptyReplies[from] = true
	}
}

// history returns what this node remembers.
func (s *System) history(now time.Duration) *state.History {
	if !s.startup.known {
		return &state.History{RecoveredAge: -1}
	}
	history := &state.History{
		Loaded: true, PlatformConfig: s.managed.PlatformConfig, OperatorRevision: s.managed.Tables[state.OperatorTable].Revision,
		Evacuated: state.SortedKeys(s.managed.Evacuated), RecoveredAge: -1,
	}
	for _, id := range state.SortedKeys(s.managed.Departures) {
		history.Departures = append(history.Departures, s.managed.Departures[id])
	}
	if s.managed.StoreRecoveredAt >= 0 {
		history.RecoveredAge = now - s.managed.StoreRecoveredAt
	}
	return history
}

// updateStartup decides whether this node knows the history of its peers. It does not
// wait if it has no peers, if all of them are starting, or if the row of the formation
// lease shows that the store has not come back from a copy lately: after a power failure
// of all nodes no peer has a history, and links take most of a second to come up.
func (s *System) updateStartup(now time.Duration, out *state.Outbox) {
	if s.startup.known || s.managed.PlatformConfig == nil || !s.managed.Tables[state.InstanceTable].Loaded {
		return
	}
	if s.startup.readAt < 0 {
		s.startup.readAt = now
	}
	switch {
	case s.startup.history != nil:
		s.applyHistory(now, s.startup.history, out)
	case now-s.startup.readAt >= historyTimeout:
	case !s.managed.Tables[state.NodeTable].Loaded:
		return
	case s.managed.IsEraSettled(now):
	case slices.ContainsFunc(s.peers, func(p state.NodeEntry) bool { return !s.startup.emptyReplies[p.ID] }):
		return
	}
	s.startup.known, s.startup.history = true, nil
}

// applyHistory merges the history of a peer into the state that was read from the
// store.
func (s *System) applyHistory(now time.Duration, history *state.History, out *state.Outbox) {
	if history.PlatformConfig != nil {
		s.setPlatformConfig(now, history.PlatformConfig, out)
	}
	if history.RecoveredAge >= 0 {
		s.managed.StoreRecoveredAt = max(s.managed.StoreRecoveredAt, now-history.RecoveredAge)
	}
	own := s.managed.Tables[state.OperatorTable].Revision
	if history.OperatorRevision >= own || state.EraOf(history.OperatorRevision) < state.EraOf(own) {
		for _, dc := range history.Evacuated {
			if !s.managed.Evacuated[dc] {
				s.setEvacuated(dc, true, out)
				s.restoration.heldEvacuations.Schedule(dc, now+evacuationHoldTime)
			}
		}
	}
	for _, departure := range history.Departures {
		if !departure.Gone {
			s.recordLeaving(now, departure, "", out)
			continue
		}
		row := s.managed.Instances.Get(departure.Host)
		if row == nil || row.StartID > departure.StartID {
			continue
		}
		s.deleteInstance(now, departure.Host)
		s.restoration.heldRows[row.ID] = row
		s.restoration.dueRows.Schedule(row.ID, now+departedReturnTime)
	}
	out.Log(event.HistoryReceived, slog.Int("departures", len(history.Departures)), slog.Int("evacuated", len(history.Evacuated)))
}
