package dispatch

import (
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// trialSlot is how long each node in turn may try a request with a trait in quarantine. The
// result reaches all nodes before the next turn, unless the request waits longer for a target.
const trialSlot = 30 * time.Second

// probationSlot is the same for a trait on probation, most of whose requests may be sound. The end
// of a target at the beginning of the answer reaches all nodes within it.
const probationSlot = 2 * time.Second

// trial is the last request at this node that was run although a trait of it was in quarantine.
type trial struct {
	request   state.RequestID
	startedAt time.Duration
}

// isTrialDue reports whether this node may run a request to find out whether its traits in
// quarantine still end the targets.
//
// Without trials, a trait that is sound, or whose targets have been mended, would be refused for
// as long as requests with it arrive. The nodes take turns, since each one that tries a faulty
// trait ends a target.
func (s *System) isTrialDue(now time.Duration, req *state.Request) bool {
	return !slices.ContainsFunc(req.Traits, func(trait state.Trait) bool {
		_, quarantined := s.managed.Quarantined[trait]
		return quarantined && s.nextTrialAt(now, trait) > now
	})
}

// nextTrialAt returns when this node may next try a request with a trait in quarantine: now
// within its turn, and otherwise at the beginning of the next one. A node that is not registered
// has no turn.
func (s *System) nextTrialAt(now time.Duration, trait state.Trait) time.Duration {
	due, slot := s.managed.Quarantined[trait], trialSlot
	if _, onProbation := s.managed.Probation[trait]; onProbation {
		slot = probationSlot
	}
	nodes := s.managed.Nodes.Keys()
	rank := slices.Index(nodes, s.tables.Self.ID)
	if rank < 0 {
		return max(due, now+slot)
	}
	turn := due + time.Duration(rank)*slot
	round := time.Duration(len(nodes)) * slot
	if now >= turn {
		turn += (now - turn) / round * round
	}
	if last, tried := s.trials[trait]; tried && last.startedAt >= turn || now >= turn+slot {
		turn += round
	}
	return max(turn, now)
}

// recordTrial records that a request is run although traits of it are in quarantine, and forgets
// the trials of other traits that are no longer in quarantine.
func (s *System) recordTrial(now time.Duration, req *state.Request) {
	for trait := range s.trials {
		if _, quarantined := s.managed.Quarantined[trait]; !quarantined {
			delete(s.trials, trait)
		}
	}
	for _, trait := range req.Traits {
		if _, quarantined := s.managed.Quarantined[trait]; quarantined {
			s.trials[trait] = trial{req.Arrival.ID, now}
		}
	}
}

// isTrial reports whether a request is the trial of a trait in quarantine, which no crash has
// been added to since.
func (s *System) isTrial(req *state.Request, trait state.Trait) bool {
	last, tried := s.trials[trait]
	return tried && last.request == req.Arrival.ID && last.startedAt >= s.managed.Quarantined[trait]
}
