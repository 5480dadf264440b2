package inventory

import (
	"log/slog"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

const (
	// departureRetention is how long a departure is remembered after the row of the
	// instance has gone. A copy from which the store is restored is some seconds old.
	departureRetention = time.Minute
	// departurePurgePeriod is the interval between searches for departures to forget.
	departurePurgePeriod = time.Second
)

// handleTargetNotice handles what a target has said of itself in an answer to this
// node.
func (s *System) handleTargetNotice(now time.Duration, in state.TargetNotice, out *state.Outbox) {
	if in.Pause > 0 {
		s.managed.PausedTargets[in.Host] = state.TargetPause{StartID: in.StartID, Until: now + in.Pause}
		out.Log(event.TargetPaused, slog.String("target", string(in.Host)), slog.Duration("pause", in.Pause))
	}
	s.handleLimitStatement(now, in, out)
	if in.Leaving {
		s.recordLeaving(now, state.Departure{Host: in.Host, StartID: in.StartID}, "", out)
	}
}

// recordLeaving takes an instance out of use and tells the peers. It stays out of
// use until another process has its ID.
func (s *System) recordLeaving(now time.Duration, departure state.Departure, from state.NodeID, out *state.Outbox) {
	known, exists := s.managed.Departures[departure.Host]
	if exists && (known.StartID > departure.StartID || known.StartID == departure.StartID && !known.Gone) {
		return
	}
	row := s.managed.Instances.Get(departure.Host)
	if row != nil && row.StartID > departure.StartID {
		return
	}
	departure.At, departure.Gone = now, false
	s.managed.Departures[departure.Host] = departure
	if row != nil && row.StartID == departure.StartID && !row.Draining {
		draining := *row
		draining.Draining = true
		s.managed.Instances.Put(row.ID, &draining)
		s.managed.TargetInputsVersion++
	}
	out.Log(event.InstanceLeaving, slog.String("host", string(departure.Host)), slog.String("from", string(from)))
	s.relayDeparture(departure, from, out)
}

func (s *System) relayDeparture(departure state.Departure, from state.NodeID, out *state.Outbox) {
	for _, id := range s.managed.RelayTargets(s.tables.Self.ID, from) {
		out.Add(state.SendPeer{To: id, Message: state.Message{Departure: &departure}})
	}
}

// sendLeaving tells a peer whose link came up which instances are leaving.
func (s *System) sendLeaving(to state.NodeID, out *state.Outbox) {
	for _, id := range state.SortedKeys(s.managed.Departures) {
		if departure := s.managed.Departures[id]; !departure.Gone && s.managed.Instances.Get(id) != nil {
			out.Add(state.SendPeer{To: to, Message: state.Message{Departure: &departure}})
		}
	}
}

// applyDeparture marks a row whose process is known to leave, and forgets the
// departure of an earlier process with the same ID.
func (s *System) applyDeparture(now time.Duration, row *state.Instance) {
	departure, departed := s.managed.Departures[row.ID]
	switch {
	case departed && departure.StartID == row.StartID && !departure.Gone:
		row.Draining = true
	case departed && departure.StartID <= row.StartID:
		// Another process has the ID, or the instance has written its entry again.
		delete(s.managed.Departures, row.ID)
	}
	if row.Draining {
		s.managed.Departures[row.ID] = state.Departure{Host: row.ID, StartID: row.StartID, At: now}
	}
}

// deleteInstance removes an instance and remembers that it has gone.
func (s *System) deleteInstance(now time.Duration, id state.HostID) {
	row := s.managed.Instances.Get(id)
	if row == nil {
		return
	}
	leaving, known := s.managed.Departures[id]
	s.managed.Departures[id] = state.Departure{
		Host: id, StartID: row.StartID, At: now, Gone: !known || leaving.Gone || leaving.StartID != row.StartID,
	}
	s.managed.Instances.Delete(id)
	s.managed.TargetInputsVersion++
}

// purgeDepartures forgets old departures of instances without a row, and pauses and
// limits that have ended.
func (s *System) purgeDepartures(now time.Duration, out *state.Outbox) {
	if now < s.nextPurgeAt {
		return
	}
	s.nextPurgeAt = now + departurePurgePeriod
	for id, departure := range s.managed.Departures {
		if now-departure.At > departureRetention && s.managed.Instances.Get(id) == nil {
			delete(s.managed.Departures, id)
		}
	}
	for id, pause := range s.managed.PausedTargets {
		if now >= pause.Until {
			delete(s.managed.PausedTargets, id)
		}
	}
	s.purgeLimits(now, out)
}
