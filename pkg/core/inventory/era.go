package inventory

import (
	"log/slog"
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

const (
	// departedReturnTime is how long the row of an instance that had gone must remain
	// in a restored store for the instance to count as running. Rows that are not
	// renewed expire after three heartbeats of 1.2 s.
	departedReturnTime = 5 * time.Second
	// evacuationHoldTime is how long a data centre stays evacuated after its row was
	// lost with a restored store, unless the operator removes the row sooner.
	evacuationHoldTime = state.EraSettleTime
	// registrationInterval is the average interval between the registrations of all
	// nodes after the store has lost their rows: 200 a second, half of the write rate
	// of the smallest store.
	registrationInterval = 5 * time.Millisecond
)

// restoration holds what this node knows and the store may have lost when it came
// back from a copy.
//
// The store is then a few seconds old and in a new era. The operator and the
// instances write again what is missing; until then the rows of the copy say less
// than the rows of the last era.
type restoration struct {
	// heldRows holds the rows of the copy that contradict what this node knows, until
	// dueRows applies them. A newer row of the instance replaces them.
	heldRows map[state.HostID]*state.Instance
	dueRows  *state.DueQueue[state.HostID]
	// heldEvacuations and heldNodes hold the evacuations and nodes without a row in
	// the copy.
	heldEvacuations *state.DueQueue[state.DataCentre]
	heldNodes       *state.DueQueue[state.NodeID]
}

func newRestoration() restoration {
	return restoration{
		heldRows: map[state.HostID]*state.Instance{}, dueRows: state.NewDueQueue[state.HostID](),
		heldEvacuations: state.NewDueQueue[state.DataCentre](), heldNodes: state.NewDueQueue[state.NodeID](),
	}
}

// dropRow forgets the held row of an instance.
func (r *restoration) dropRow(id state.HostID) {
	delete(r.heldRows, id)
	r.dueRows.Cancel(id)
}

// observeEra records the era of an answer of the store or of a peer's table. A new
// era ends the watch calls of the old one and counts as a recovery of the store.
func (s *System) observeEra(now time.Duration, era uint64, out *state.Outbox) {
	if s.managed.EraSince < 0 {
		s.managed.EraSince = now
	}
	if era <= s.managed.StoreEra {
		return
	}
	previous := s.managed.StoreEra
	s.managed.StoreEra, s.managed.EraSince = era, now
	if !slices.ContainsFunc(s.managed.Tables[:], func(t state.TableStatus) bool { return t.Loaded }) {
		return
	}
	s.managed.StoreRecoveredAt = now
	s.restartAnswers(now)
	out.Log(event.StoreEraChanged, slog.Uint64("era", era), slog.Uint64("previous", previous))
	s.updateWatching(now, out)
}

// holdBack decides whether a row of a restored store waits before it is applied,
// because this node knows newer state of the same process, or knows that it left.
func (s *System) holdBack(now time.Duration, row *state.Instance) bool {
	known := s.managed.Instances.Get(row.ID)
	departure, departed := s.managed.Departures[row.ID]
	var wait time.Duration
	switch {
	case known != nil && row.StartID <= known.StartID && !hasSameContent(known, row):
		wait = entryReturnTime
	case known == nil && departed && row.StartID <= departure.StartID:
		wait = departedReturnTime
	default:
		return false
	}
	s.expiredInstances.Cancel(row.ID)
	s.restoration.heldRows[row.ID] = row
	s.restoration.dueRows.Schedule(row.ID, now+wait)
	return true
}

// hasSameContent reports whether two rows of an instance differ in nothing but
// their revision.
func hasSameContent(a, b *state.Instance) bool {
	return a.StartID == b.StartID && a.Address == b.Address && a.Service == b.Service && a.Draining == b.Draining &&
		a.Membership == b.Membership && a.LoadedModel == b.LoadedModel && slices.Equal(a.StagedModels, b.StagedModels)
}

// returnTimeEnd returns when instances have had entryReturnTime to write their rows again
// since the store last failed.
func (s *System) returnTimeEnd(now time.Duration) time.Duration {
	if now < s.managed.StoreOutageUntil {
		return now + entryReturnTime
	}
	return s.managed.Tables[state.InstanceTable].FailedAt + entryReturnTime
}

// releaseHeld applies what was held back for long enough, and relays it. A row of the copy
// is dropped if the host has reported other state since the store came back.
func (s *System) releaseHeld(now time.Duration, out *state.Outbox) {
	var rows []state.RowUpdate
	returnTimeEnd := s.returnTimeEnd(now)
	for id, ok := s.restoration.dueRows.Pop(now); ok; id, ok = s.restoration.dueRows.Pop(now) {
		row := s.restoration.heldRows[id]
		if now < returnTimeEnd {
			s.restoration.dueRows.Schedule(id, returnTimeEnd)
			continue
		}
		delete(s.restoration.heldRows, id)
		if known := s.managed.Instances.Get(id); known != nil && known.StartID >= row.StartID && known.ReportedAt > s.managed.EraSince {
			continue
		}
		s.putInstance(now, row)
		// The row may be older than the restoration, so no order is based on it alone.
		row.RevisionSeenAt, row.FromCopy = s.managed.StoreRecoveredAt, true
		rows = append(rows, state.RowUpdate{Key: string(id), Revision: row.Revision, Instance: row})
		out.Log(event.HeldRowApplied, slog.String("host", string(id)), slog.Bool("draining", row.Draining))
	}
	s.relayConfirmed(state.InstanceTable, rows, out)
	rows = nil
	for dc, ok := s.restoration.heldEvacuations.Pop(now); ok; dc, ok = s.restoration.heldEvacuations.Pop(now) {
		s.setEvacuated(dc, false, out)
		rows = append(rows, state.RowUpdate{Key: evacuationKey(dc), Removed: true})
	}
	s.relayConfirmed(state.OperatorTable, rows, out)
	for id, ok := s.restoration.heldNodes.Pop(now); ok; id, ok = s.restoration.heldNodes.Pop(now) {
		s.managed.Nodes.Delete(id)
		s.setPeers(out)
	}
}

func (s *System) relayConfirmed(table state.TableKind, rows []state.RowUpdate, out *state.Outbox) {
	if len(rows) > 0 && s.managed.WatchesStore {
		s.relayUpdate(state.TableUpdate{Table: table, Confirmed: true, Rows: rows}, s.managed.Tables[table].Revision, "", out)
	}
}

// removeAbsentAfterRestoration handles the rows that are missing from the first
// snapshot of a new era. Their owners may write them again.
func (s *System) removeAbsentAfterRestoration(now time.Duration, table state.TableKind, present map[string]bool, out *state.Outbox) {
	switch table {
	case state.OperatorTable:
		for _, dc := range state.SortedKeys(s.managed.Evacuated) {
			if !present[evacuationKey(dc)] {
				s.restoration.heldEvacuations.Schedule(dc, now+evacuationHoldTime)
			}
		}
	case state.NodeTable:
		spread := time.Duration(s.managed.Nodes.Len()) * registrationInterval
		s.nextRegisterAt = max(s.nextRegisterAt, now+time.Duration(s.tables.Rand.Int64N(int64(spread)+1)))
		for _, id := range s.managed.Nodes.Keys() {
			if !present[state.PrefixNode+string(id)] {
				s.restoration.heldNodes.Schedule(id, now+spread+2*entryReturnTime)
			}
		}
		if lease := &s.managed.Lease; !present[state.KeyFormationLease] {
			// The row is absent. Its holder may acquire it again before others do.
			lease.Revision, lease.RenewalSeenAt = 0, now
		}
		s.setPeers(out)
	default:
		s.removeAbsent(now, table, present, out)
	}
}

// isRegistered reports whether the store holds the current row of this node.
func (s *System) isRegistered(self state.NodeEntry) bool {
	row := s.managed.Nodes.Get(self.ID)
	return row != nil && row.Entry == self && state.EraOf(row.Revision) == state.EraOf(s.managed.Tables[state.NodeTable].Revision)
}
