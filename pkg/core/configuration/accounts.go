package configuration

import "github.com/apricotgrade/apricotgrade/pkg/core/state"

// applyAccounts writes the weights and limits in force: those declared, with
// the values of the preset over them.
func (s *System) applyAccounts() {
	c := &s.t.Config
	var preset state.PresetSpec
	for _, p := range c.Document.Presets {
		if p.Name == c.Head.Preset {
			preset = p
		}
	}
	declared := make(map[state.AccountID]bool, len(c.Document.Accounts))
	for _, a := range c.Document.Accounts {
		declared[a.Name] = true
		s.putAccount(state.Account{
			ID: a.Name, KeyHash: a.KeyHash,
			Weight:      override(preset.Weights, a.Name, a.Weight),
			Concurrency: override(preset.Concurrency, a.Name, a.Concurrency),
		})
	}
	var removed []state.AccountID
	for id := range s.t.Accounts.All() {
		if !declared[id] {
			removed = append(removed, id)
		}
	}
	for _, id := range removed {
		s.removeAccount(id)
	}
}

func (s *System) putAccount(want state.Account) {
	row := s.t.Accounts.Get(want.ID)
	if row == nil {
		s.t.Accounts.Put(want.ID, &want)
		return
	}
	if row.KeyHash == want.KeyHash && row.Weight == want.Weight && row.Concurrency == want.Concurrency {
		return
	}
	row.KeyHash, row.Weight, row.Concurrency = want.KeyHash, want.Weight, want.Concurrency
	s.t.Accounts.Touch(want.ID)
}

// removeAccount takes an account out of use. Its requests in flight still end,
// so that the row of a busy account stays, without a key, until a later change.
func (s *System) removeAccount(id state.AccountID) {
	row := s.t.Accounts.Get(id)
	if row.InFlight == 0 && row.Queued == 0 && row.PeerInFlight == 0 {
		s.t.Accounts.Delete(id)
		return
	}
	row.KeyHash = ""
	s.t.Accounts.Touch(id)
}

func override(values []state.AccountValue, id state.AccountID, declared int) int {
	for _, v := range values {
		if v.Account == id {
			return v.Value
		}
	}
	return declared
}
