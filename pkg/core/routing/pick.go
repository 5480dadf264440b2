package routing

import (
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// nearBest is the score distance within which targets count as equally good.
// Nodes that act on the same old report spread over all of these.
const nearBest = 0.25

// Pick returns the target for a request and counts the attempt there, or false
// when none can take it now. It asks targets for their load that it uses or that
// it has to know more about first.
func (s *System) Pick(now time.Duration, req *state.Request, out *state.Outbox) (state.TargetID, bool) {
	if !s.t.Config.Fresh && !s.t.Switches.IgnoreFreshness {
		return "", false
	}
	var failed state.DataCentre
	if n := len(req.TriedTargets); n > 0 {
		if row := s.t.Targets.Get(req.TriedTargets[n-1]); row != nil {
			failed = row.DataCentre
		}
	}
	hits := s.hints.hits(req.Arrival.PrefixHashes, now)
	s.scratch = s.scratch[:0]
	for _, tr := range s.candidates(req) {
		if s.fits(now, tr, req) {
			s.scratch = append(s.scratch, scored{tr, s.score(now, tr, req, hits, failed)})
		}
	}
	if len(s.scratch) == 0 {
		s.fetch(now, out)
		return "", false
	}
	tr := s.choose(s.scratch)
	s.use(now, tr, req.Arrival.ID)
	s.fetch(now, out)
	return tr.row.ID, true
}

// choose returns the better of two random targets among the best.
func (s *System) choose(all []scored) *track {
	best := 0
	for i := range all {
		if all[i].score < all[best].score {
			best = i
		}
	}
	if s.t.Switches.IgnoreChoices {
		return all[best].tr
	}
	bound := all[best].score + nearBest
	near := all[:0]
	for _, c := range all {
		if c.score <= bound {
			near = append(near, c)
		}
	}
	a, b := near[s.t.Rand.IntN(len(near))], near[s.t.Rand.IntN(len(near))]
	if b.score < a.score {
		a = b
	}
	return a.tr
}
