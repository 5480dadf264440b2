package quarantine

import (
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const (
	// systemName identifies the store requests of this system.
	systemName = "quarantine"
	// rowRetryDelay is how long after an attempt to write or delete a row the next one is
	// made.
	rowRetryDelay = 500 * time.Millisecond
)

// rowKeeper keeps the rows of traits in quarantine. The evidence in memory is lost if all
// nodes end at the same moment, and each trait at fault would end three more targets.
type rowKeeper struct {
	// version is the QuarantineRowsVersion up to which rows were read into the ledger, and
	// known holds the traits of these rows by key.
	version   uint64
	known     map[string]state.Trait
	nextTryAt time.Duration
}

// readRows adds the evidence of new rows to the ledger. The trait of a row that was deleted
// is released: no node has evidence on it, or an operator has deleted the row.
func (s *System) readRows(now time.Duration, out *state.Outbox) {
	k := &s.rows
	if k.version == s.managed.QuarantineRowsVersion {
		return
	}
	k.version = s.managed.QuarantineRowsVersion
	for _, key := range state.SortedKeys(k.known) {
		if _, ok := s.managed.QuarantineRows[key]; !ok {
			s.spread(s.ledger.Release(now, k.known[key]), out)
			delete(k.known, key)
		}
	}
	for _, key := range state.SortedKeys(s.managed.QuarantineRows) {
		if row := s.managed.QuarantineRows[key]; k.known[key] != row.Trait {
			k.known[key] = row.Trait
			s.ledger.Merge(now, crashesOf(row), true)
		}
	}
}

// crashesOf returns the crashes of a row that are of its trait.
func crashesOf(row state.QuarantineRow) []state.TraitCrash {
	var crashes []state.TraitCrash
	for _, crash := range row.Crashes {
		if crash.Trait == row.Trait && !crash.Cleared {
			crashes = append(crashes, crash)
		}
	}
	return crashes
}

// writeRows writes a row for each trait in quarantine that has none in the era of the store,
// and deletes the rows of traits without enough evidence. Only the holder of the formation
// lease does so, one row at a time.
func (s *System) writeRows(now time.Duration, out *state.Outbox) {
	k := &s.rows
	table := s.managed.Tables[state.NodeTable]
	lease := s.tables.Leases.Get(state.FormationLeaseName)
	if lease == nil || now >= lease.ValidUntil || !table.Loaded || now < max(k.nextTryAt, s.managed.StoreOutageUntil) {
		return
	}
	for _, trait := range sortedTraits(s.ledger.Quarantined()) {
		if _, onProbation := s.ledger.probation[trait]; onProbation {
			continue
		}
		key := state.QuarantineKey(trait)
		if row := s.managed.QuarantineRows[key]; row.Revision > 0 && state.EraOf(row.Revision) == state.EraOf(table.Revision) {
			continue
		}
		row := state.QuarantineRow{Trait: trait, Crashes: s.ledger.CrashesOf(trait)}
		s.transact(now, state.Condition{Key: key}, state.Write{Key: key, Value: state.Encode(row)}, out)
		return
	}
	for _, key := range state.SortedKeys(s.managed.QuarantineRows) {
		if row := s.managed.QuarantineRows[key]; row.Revision > 0 && !s.ledger.HasEvidence(row.Trait) {
			s.transact(now, state.Condition{Key: key, Revision: row.Revision}, state.Write{Key: key}, out)
			return
		}
	}
}

func (s *System) transact(now time.Duration, condition state.Condition, write state.Write, out *state.Outbox) {
	s.rows.nextTryAt = now + rowRetryDelay
	s.tables.SendStoreRequest(out, systemName, state.StoreRequest{Transact: &state.Transaction{
		Conditions: []state.Condition{condition}, Writes: []state.Write{write},
	}})
}
