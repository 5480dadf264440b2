package dispatch

import (
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/promptcache"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const (
	// shortfallWeight is the weight of the last attempt in the mean shortfall of a target. The
	// passes of an engine scatter a first event by about 10 ms, which a mean over fewer
	// attempts would take for a shortfall.
	shortfallWeight = 1.0 / 8
	// requestSizeWeight is the weight of the last attempt in the mean sizes of a pool.
	requestSizeWeight = 1.0 / 32
)

// requestSizes holds the mean sizes of the requests of a pool in tokens, prompt and answer
// together. filled leaves out the part of the prompt that the target held.
type requestSizes struct{ total, filled float64 }

func (r *requestSizes) add(total, filled float64) {
	if r.total == 0 {
		r.total, r.filled = total, filled
		return
	}
	r.total += requestSizeWeight * (total - r.total)
	r.filled += requestSizeWeight * (filled - r.filled)
}

// readPrefixes sets the prefixes of the prompt of a request, unless targets keep no prompts.
func (s *System) readPrefixes(active *activeRequest) {
	if s.heldPrompts == nil || active.pool.key.model == "" {
		return
	}
	routed := active.req.Arrival.Routed
	active.prefixes = promptcache.Prefixes(active.req.Account, active.pool.key.model, routed.PromptParts, routed.PrefixTokens)
	active.pool.recentPrefixes.add(active.prefixes)
}

// heldTokens returns the size of the part of a prompt that a target is expected to hold. At
// least one token of a prompt is always computed.
func (s *System) heldTokens(now time.Duration, t *target, active *activeRequest) int {
	if t.held == nil || t.held.IsEmpty() || len(active.prefixes) == 0 {
		return 0
	}
	room := float64(t.engine.KVCacheTokens) - float64(t.inFlight())*active.pool.sizes.total
	return max(min(t.held.Held(now, active.prefixes, room), active.req.Arrival.Routed.PromptTokens-1), 0)
}

// savedTime returns how much sooner a target is predicted to deliver the first event of a
// request because it holds the beginning of its prompt, less the mean shortfall of such attempts.
//
// Load pattern: many prompts begin with the same long part, which takes a quarter of their
// time to the first event. The saving is weighed against the load in the same unit, so that
// a target gets more of these requests only until its predicted time is that of the others.
// If the target is slower than predicted, or keeps no prompts, the shortfall consumes the saving.
func (s *System) savedTime(now time.Duration, t *target, active *activeRequest) time.Duration {
	return max(s.prefillSaved(t, active, s.heldTokens(now, t, active))-max(t.shortfall, 0), 0)
}

// prefillSaved returns the difference that a number of held tokens makes to the prediction.
func (s *System) prefillSaved(t *target, active *activeRequest, held int) time.Duration {
	if held == 0 {
		return 0
	}
	tokens := active.req.Arrival.Routed.PromptTokens
	return s.predictTokens(t, tokens) - s.predictTokens(t, tokens-held)
}

// followSavings distributes the requests with the prefix of the one to be placed anew, by costs
// without the prefill that each target saves. The others stay where shares has them, and raise
// the costs there and take their room, but one request beyond the part of the prefix may follow
// in any case: if there are more requests than room, others that follow their own savings
// leave as much elsewhere. Without a saving it returns shares.
//
// Load pattern: 80 keys, of which each has other targets that hold it. If all unseen requests
// are taken to follow the same saving, a target with a saving of 25 ms gets a tenth of the
// requests of its key. One key with 0.4 of the requests does move that many at once.
func (p *targetPool) followSavings(active *activeRequest, options []option, shares []float64, requests float64) []float64 {
	if !slices.ContainsFunc(options, func(o option) bool { return o.saved > 0 }) {
		return shares
	}
	part := p.recentPrefixes.part(active.prefixes[0].Key)
	saving := make([]option, len(options))
	for i, o := range options {
		others := shares[i] * (1 - part)
		o.cost += time.Duration(others*float64(o.slope)) - o.saved
		o.room = max(o.room-others, min(o.room, 1+part*o.room))
		saving[i] = o
	}
	following, _ := fillShares(saving, max(requests*part, 1))
	if sum(following) == 0 {
		return shares
	}
	return following
}

// recentPrefixCount is the number of requests from which the part of those with a prefix is
// derived.
const recentPrefixCount = 128

// recentPrefixes holds the shortest prefixes of the last requests of a pool, 0 for a request
// without one.
type recentPrefixes struct {
	keys []uint64
	next int
}

func (r *recentPrefixes) add(prefixes []promptcache.Prefix) {
	key := uint64(0)
	if len(prefixes) > 0 {
		key = prefixes[0].Key
	}
	if len(r.keys) < recentPrefixCount {
		r.keys = append(r.keys, key)
		return
	}
	r.keys[r.next] = key
	r.next = (r.next + 1) % recentPrefixCount
}

// part returns the part of the last requests that have a prefix.
func (r *recentPrefixes) part(key uint64) float64 {
	n := 0
	for _, other := range r.keys {
		if other == key {
			n++
		}
	}
	return float64(n) / float64(max(len(r.keys), 1))
}

// countPromptSize adds the size of a request that is sent to a target to the means of its pool.
func (s *System) countPromptSize(active *activeRequest, t *target) {
	if t.held == nil {
		return
	}
	routed := active.req.Arrival.Routed
	answer := routed.OutputTokens
	if typical := t.engine.TypicalAnswerTokens; typical > 0 {
		answer = min(answer, typical)
	}
	total := float64(routed.PromptTokens + answer)
	active.pool.sizes.add(total, total-float64(active.heldTokens))
}

// fillPromptMemory counts the tokens that all nodes have put into the memory of the targets since
// the last call. This node knows only the number of requests of the others, whose rate
// follows from Little's law and whose sizes are taken to be like those of its own.
func (s *System) fillPromptMemory(now time.Duration) {
	elapsed := now - s.promptMemoryAt
	s.promptMemoryAt = now
	if s.heldPrompts == nil || s.heldPrompts.Len() == 0 {
		return
	}
	for _, pool := range s.poolOrder {
		for _, t := range pool.targets {
			if t.held != nil && !t.held.IsEmpty() {
				t.held.Fill(float64(t.inFlight()) * float64(elapsed) / float64(pool.residence()) * pool.sizes.filled)
			}
		}
	}
}

// countHeldPrompt records that a target has delivered the first event of an attempt, and
// therefore holds the prompt.
func (s *System) countHeldPrompt(now time.Duration, active *activeRequest) {
	if t := active.target; t.held != nil && t.usable && len(active.prefixes) > 0 {
		t.held.Hold(now, active.prefixes)
	}
}

// countSaving compares the time to the first event of a first attempt with the prediction. The
// difference of attempts that found nothing held is the usual one of the pool. What
// attempts with a held prefix take beyond it, although they should save all of its prefill, is
// the shortfall of their target.
func (s *System) countSaving(now time.Duration, active *activeRequest) {
	t := active.target
	if t.held == nil || active.attempts > 1 || t.inFlight() >= t.capacity() {
		return
	}
	pool, observed := active.pool, now-active.req.SentAt
	if active.heldTokens == 0 {
		difference := observed - active.predicted
		if pool.unsavedAttempts++; pool.unsavedAttempts == 1 {
			pool.unsavedDifference = difference
		}
		pool.unsavedDifference += time.Duration(requestSizeWeight * float64(difference-pool.unsavedDifference))
		return
	}
	if pool.unsavedAttempts > 0 {
		shortfall := observed - active.predictedHeld - pool.unsavedDifference
		t.shortfall += time.Duration(shortfallWeight * float64(shortfall-t.shortfall))
	}
}

// followEngine sets whether a target may hold prompts, which replicas of plain services do not.
func (s *System) followEngine(t *target) {
	switch {
	case t.engine == nil:
		t.forget()
		t.held = nil
	case t.held == nil && s.heldPrompts != nil:
		t.held = s.heldPrompts.NewTarget()
	}
}

// forget drops what the target is known to hold.
func (t *target) forget() {
	if t.held != nil {
		t.held.Forget()
	}
}

// newHeldPrompts returns the store of held prefixes, or nil if targets keep no prompts.
func newHeldPrompts(self *state.Self) *promptcache.Store {
	if self.PromptCacheRetention <= 0 {
		return nil
	}
	return promptcache.New(self.PromptCacheRetention, promptcache.DefaultCapacity)
}
