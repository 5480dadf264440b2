package quarantine

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// Sizes of the prompts of the tests below.
const (
	longPrompt   = 1000
	lostRequests = 20
)

// longParts returns the parts of a long prompt, of which the first are common to all.
func longParts(request, common int) []state.Trait {
	traits := make([]state.Trait, 0, longPrompt)
	for i := range longPrompt {
		if i < common {
			traits = append(traits, part(10_000+i))
		} else {
			traits = append(traits, part(1_000_000*(request+1)+i))
		}
	}
	return traits
}

// TestLatePartOfALongPromptIsQuarantined guards against a part at fault that is beyond the bound of
// what is kept of a prompt, or is forgotten for the parts of the requests beside it.
func TestLatePartOfALongPromptIsQuarantined(t *testing.T) {
	for name, common := range map[string]int{"new parts": 0, "common parts": longPrompt - 50} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			l, peer := NewLedger(), NewLedger()
			l.Sound(time.Second, completeAnswer(0), longParts(0, longPrompt))
			reported, request := 0, 0
			for i := range minCrashes {
				now := nth(time.Duration(10*(i+1))*time.Second, 0)
				report := func(age time.Duration, traits []state.Trait) {
					crashes := l.Crash(now, process(i), now-time.Second, age, traits)
					reported += len(crashes)
					peer.Merge(now, crashes, false)
				}
				request++
				deadly := longParts(request, common)
				deadly[longPrompt-2] = faulty
				report(0, deadly)
				// Late losses are booked with the next tick.
				for range lostRequests - 1 {
					request++
					report(time.Second, longParts(request, common))
				}
				for _, ledger := range []*Ledger{l, peer} {
					ledger.Sound(now+time.Second, completeAnswer(now), longParts(0, longPrompt))
				}
			}
			for _, ledger := range []*Ledger{l, peer} {
				g.Expect(ledger.Quarantined()).To(gomega.HaveKey(faulty))
				g.Expect(len(ledger.records)).To(gomega.BeNumerically("<=", maxTraits))
			}
			report := state.Encode(state.TraitReport{Crashes: l.Crashes(maxTraits)})
			t.Logf("%d crashes reported for %d processes with %d requests of %d parts each, %d bytes a crash", reported, minCrashes, lostRequests, longPrompt, len(report)/len(l.Crashes(maxTraits)))
			g.Expect(reported).To(gomega.BeNumerically("<=", minCrashes*(maxNewTraits+longPrompt)))
		})
	}
}

// TestAnswersWithoutSuspicionAllocateNothing guards against a cost of the evidence for each request on
// days without losses.
func TestAnswersWithoutSuspicionAllocateNothing(t *testing.T) {
	f := newFleet(1)
	id := f.send(0, longParts(0, longPrompt)...)
	system := f.nodes[0].systems[1]
	inputs := []state.Input{
		state.AttemptEvent{Request: id, Attempt: 1, Stage: state.AttemptFirstByte},
		state.Tick{},
		state.AttemptEvent{Request: id, Attempt: 1, Stage: state.AttemptEnded, Status: 200, EventCount: 27},
	}
	var out state.Outbox
	answered := func() {
		for _, in := range inputs {
			system.Step(f.now, in, &out)
		}
	}
	answered()
	if n := testing.AllocsPerRun(100, answered); n != 0 {
		t.Errorf("%v allocations for a request", n)
	}
	if len(out.Outputs) > 0 {
		t.Errorf("%d outputs", len(out.Outputs))
	}
}
