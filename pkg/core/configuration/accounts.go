package configuration

import "github.com/apricotgrade/apricotgrade/pkg/core/state"

// applyAccounts updates Accounts with the weights and limits in force: the declared
// values, overridden by those of the preset.
func (s *System) applyAccounts() {
	config := &s.tables.Config
	var preset state.PresetSpec
	for _, p := range config.Document.Presets {
		if p.Name == config.Head.Preset {
			preset = p
		}
	}
	declared := make(map[state.AccountID]bool, len(config.Document.Accounts))
	for _, a := range config.Document.Accounts {
		declared[a.Name] = true
		s.putAccount(state.Account{
			ID: a.Name, KeyHash: a.KeyHash,
			Weight:      overrideFor(preset.Weights, a.Name, a.Weight),
			Concurrency: overrideFor(preset.Concurrency, a.Name, a.Concurrency),
		})
	}
	var removed []state.AccountID
	for id := range s.tables.Accounts.All() {
		if !declared[id] {
			removed = append(removed, id)
		}
	}
	for _, id := range removed {
		s.removeAccount(id)
	}
}

func (s *System) putAccount(want state.Account) {
	row := s.tables.Accounts.Get(want.ID)
	if row == nil {
		s.tables.Accounts.Put(want.ID, &want)
		return
	}
	if row.KeyHash == want.KeyHash && row.Weight == want.Weight && row.Concurrency == want.Concurrency {
		return
	}
	row.KeyHash, row.Weight, row.Concurrency = want.KeyHash, want.Weight, want.Concurrency
	s.tables.Accounts.Touch(want.ID)
}

// removeAccount removes an account. An account with unfinished requests keeps its
// row, without a key, until a later change, so that these requests can end.
func (s *System) removeAccount(id state.AccountID) {
	row := s.tables.Accounts.Get(id)
	if row.InFlight == 0 && row.Queued == 0 && row.PeerInFlight == 0 {
		s.tables.Accounts.Delete(id)
		return
	}
	row.KeyHash = ""
	s.tables.Accounts.Touch(id)
}

// overrideFor returns the account's value in the list, or the declared value if the
// list has none.
func overrideFor(values []state.AccountValue, id state.AccountID, declared int) int {
	for _, v := range values {
		if v.Account == id {
			return v.Value
		}
	}
	return declared
}
