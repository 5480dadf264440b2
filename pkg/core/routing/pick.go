package routing

import (
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// equalScoreMargin is the score difference within which targets count as equally good.
// Nodes that decide on the same outdated report spread their requests over all of them.
const equalScoreMargin = 0.25

// Pick returns the target for a request and counts the attempt there, or false when no
// target can accept it now. It requests the load of targets that are in use or that must
// be checked first.
func (s *System) Pick(now time.Duration, req *state.Request, out *state.Outbox) (state.TargetID, bool) {
	if !s.tables.Config.Fresh && !s.tables.Switches.IgnoreFreshness {
		return "", false
	}
	var lastFailedDataCentre state.DataCentre
	if n := len(req.TriedTargets); n > 0 {
		if row := s.tables.Targets.Get(req.TriedTargets[n-1]); row != nil {
			lastFailedDataCentre = row.DataCentre
		}
	}
	hits := s.hints.bestHits(req.Arrival.PrefixHashes, now)
	s.scratch = s.scratch[:0]
	for _, target := range s.candidates(req) {
		if s.isEligible(now, target, req) {
			s.scratch = append(s.scratch, scoredTarget{target, s.score(now, target, req, hits, lastFailedDataCentre)})
		}
	}
	if len(s.scratch) == 0 {
		s.fetchLoads(now, out)
		return "", false
	}
	target := s.chooseTarget(s.scratch)
	s.countAttempt(now, target, req.Arrival.ID)
	s.fetchLoads(now, out)
	return target.row.ID, true
}

// chooseTarget returns the better of two random targets among the equally good ones.
func (s *System) chooseTarget(scored []scoredTarget) *targetState {
	bestIndex := 0
	for i := range scored {
		if scored[i].score < scored[bestIndex].score {
			bestIndex = i
		}
	}
	if s.tables.Switches.IgnoreChoices {
		return scored[bestIndex].target
	}
	maxScore := scored[bestIndex].score + equalScoreMargin
	equallyGood := scored[:0]
	for _, c := range scored {
		if c.score <= maxScore {
			equallyGood = append(equallyGood, c)
		}
	}
	first, second := equallyGood[s.tables.Rand.IntN(len(equallyGood))], equallyGood[s.tables.Rand.IntN(len(equallyGood))]
	if second.score < first.score {
		first = second
	}
	return first.target
}
