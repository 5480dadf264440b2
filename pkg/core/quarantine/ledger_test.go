package quarantine

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

var first, faulty = part(0xa1), part(0xfa)

// part returns the trait of a prompt part.
func part(id int) state.Trait { return state.Trait{Kind: state.PromptPartTrait, ID: uint64(id)} }

func process(i int) Process { return Process{Host: state.HostID(fmt.Sprintf("h%d", i)), StartID: 1} }

// nth returns the time of the nth of several crashes that begin at a time.
func nth(at time.Duration, n int) time.Duration { return at + time.Duration(n)*disturbanceTime }

// completeAnswer is an answer from its first event to its end.
func completeAnswer(sentAt time.Duration) answer { return answer{sentAt: sentAt, complete: true} }

func parts(list ...state.Trait) []state.Trait { return list }

// TestPartThatEndsThreeTargetsIsQuarantined guards against a part that ends one target
// after another, and against a quarantine of the sound part beside it or after fewer
// ends.
func TestPartThatEndsThreeTargetsIsQuarantined(t *testing.T) {
	g := gomega.NewWithT(t)
	l := NewLedger()
	for i := range minCrashes {
		g.Expect(l.Quarantined()).To(gomega.BeEmpty())
		g.Expect(l.Crash(nth(time.Second, i), process(i), 0, 0, parts(first, faulty))).To(gomega.HaveLen(2))
		g.Expect(l.Crash(nth(time.Second, i), process(i), 0, 0, parts(first, faulty))).To(gomega.BeEmpty(), "another stream that saw the same end")
		l.Sound(time.Second, completeAnswer(time.Second), parts(first))
	}
	g.Expect(l.Quarantined()).To(gomega.HaveLen(1))
	g.Expect(l.Quarantined()).To(gomega.HaveKey(faulty))
	g.Expect(l.Transitions()).To(gomega.Equal([]Transition{{Trait: faulty, Quarantined: true, Targets: minCrashes}}))
}

// TestStartEndsQuarantine guards against a part that stays in quarantine although a
// request with it has started at any node.
func TestStartEndsQuarantine(t *testing.T) {
	g := gomega.NewWithT(t)
	a, b := NewLedger(), NewLedger()
	for i := range minCrashes {
		b.Merge(nth(time.Second, i), a.Crash(nth(time.Second, i), process(i), 0, 0, parts(faulty)), false)
	}
	g.Expect(b.Quarantined()).To(gomega.HaveKey(faulty))
	clears := a.Sound(2*time.Second, completeAnswer(nth(time.Second, minCrashes)), parts(faulty))
	g.Expect(clears).To(gomega.HaveLen(minCrashes))
	g.Expect(b.Merge(2*time.Second, clears, true)).To(gomega.Equal(clears))
	g.Expect(a.Quarantined()).To(gomega.BeEmpty())
	g.Expect(b.Quarantined()).To(gomega.BeEmpty())
	// A late report does not bring it back, and nothing is passed on twice.
	late := []state.TraitCrash{{Trait: faulty, Host: "h0", StartID: 1}, {Trait: faulty, Host: "h1", StartID: 1}, {Trait: faulty, Host: "h2", StartID: 1}}
	g.Expect(b.Merge(2*time.Second, late, true)).To(gomega.BeEmpty())
	g.Expect(b.Merge(2*time.Second, clears, true)).To(gomega.BeEmpty())
	g.Expect(b.Quarantined()).To(gomega.BeEmpty())
}

// TestOrderOfReportsDoesNotMatter guards against nodes that disagree because reports
// reached them in another order, or twice.
func TestOrderOfReportsDoesNotMatter(t *testing.T) {
	g := gomega.NewWithT(t)
	const seed = 11
	t.Logf("seed %d", seed)
	rnd := rand.New(rand.NewPCG(seed, 0))
	var reports []state.TraitCrash
	for id := range 12 {
		part := part(id)
		for i := range 1 + rnd.IntN(6) {
			crash := state.TraitCrash{Trait: part, Host: process(i).Host, StartID: 1}
			reports = append(reports, crash, crash)
			if rnd.IntN(3) == 0 {
				crash.Cleared = true
				reports = append(reports, crash)
			}
		}
	}
	var want map[state.TraitCrash]bool
	var wantParts []state.Trait
	for round := range 200 {
		rnd.Shuffle(len(reports), func(i, j int) { reports[i], reports[j] = reports[j], reports[i] })
		l := NewLedger()
		for _, r := range reports {
			l.Merge(time.Second, []state.TraitCrash{r}, true)
		}
		got := map[state.TraitCrash]bool{}
		for _, c := range l.Crashes(maxCrashesAtLinkUp) {
			got[c] = true
		}
		gotParts := slices.SortedFunc(maps.Keys(l.Quarantined()), state.CompareTraits)
		if round == 0 {
			want, wantParts = got, gotParts
			g.Expect(wantParts).NotTo(gomega.BeEmpty())
		}
		g.Expect(got).To(gomega.Equal(want))
		g.Expect(gotParts).To(gomega.Equal(wantParts))
	}
}

// TestLossOfManyTargetsQuarantinesNoSoundPart guards against the refusal of a part that
// many requests have, because a reset of a node's connections or the end of a rack took
// several of its targets at the same moment.
func TestLossOfManyTargetsQuarantinesNoSoundPart(t *testing.T) {
	g := gomega.NewWithT(t)
	l := NewLedger()
	l.Sound(time.Second, completeAnswer(0), parts(first))
	for i := range 8 {
		l.Crash(nth(2*time.Second, i), process(i), 0, 0, parts(first))
	}
	for range minOtherAnswers - 1 {
		l.Sound(4*time.Second, completeAnswer(3*time.Second), parts(part(0xb2)))
	}
	g.Expect(l.Quarantined()).To(gomega.BeEmpty())
	g.Expect(l.Sound(4*time.Second, completeAnswer(3*time.Second), parts(first))).To(gomega.HaveLen(8))
	for range minOtherAnswers {
		l.Sound(4*time.Second, completeAnswer(3*time.Second), parts(part(0xb2)))
	}
	g.Expect(l.Quarantined()).To(gomega.BeEmpty())
}

// TestStartsOfPlainServicesSayNothingOfParts guards against the refusal of a sound part that many
// requests have, because orders go on while all groups are lost.
func TestStartsOfPlainServicesSayNothingOfParts(t *testing.T) {
	g := gomega.NewWithT(t)
	l := NewLedger()
	l.Sound(time.Second, completeAnswer(0), parts(first))
	for i := range minCrashes {
		l.Crash(nth(2*time.Second, i), process(i), 0, 0, parts(first, faulty))
	}
	for i := range 10 * minOtherAnswers {
		l.Sound(4*time.Second, completeAnswer(3*time.Second), []state.Trait{{Kind: state.RequestTrait, ID: uint64(i)}})
	}
	g.Expect(l.Quarantined()).To(gomega.HaveKey(faulty))
	g.Expect(l.Quarantined()).NotTo(gomega.HaveKey(first))
}

// TestPartThatWasSoundIsQuarantined guards against a part that is never judged because
// its requests started well before.
func TestPartThatWasSoundIsQuarantined(t *testing.T) {
	g := gomega.NewWithT(t)
	l := NewLedger()
	l.Sound(time.Second, completeAnswer(0), parts(faulty))
	for i := range minCrashes {
		l.Crash(nth(2*time.Second, i), process(i), 0, 0, parts(faulty))
	}
	for range minOtherAnswers {
		g.Expect(l.Quarantined()).To(gomega.BeEmpty())
		l.Sound(3*time.Second, completeAnswer(2*time.Second), parts(first))
	}
	g.Expect(l.Quarantined()).To(gomega.BeEmpty(), "sent before the wait")
	for range minOtherAnswers {
		g.Expect(l.Quarantined()).To(gomega.BeEmpty())
		l.Sound(4*time.Second, completeAnswer(3*time.Second), parts(first))
	}
	g.Expect(l.Quarantined()).To(gomega.HaveKey(faulty))
	// Without a start in the last minute it is judged at once.
	l = NewLedger()
	l.Sound(time.Second, completeAnswer(0), parts(faulty))
	for i := range minCrashes {
		l.Crash(nth(2*time.Minute, i), process(i), 0, 0, parts(faulty))
	}
	g.Expect(l.Quarantined()).To(gomega.HaveKey(faulty))
}

// TestLivingProcessClearsItsCrash guards against evidence from a broken connection to a
// process that goes on serving, and against the loss of evidence to a request that was
// sent before the end of the process.
func TestLivingProcessClearsItsCrash(t *testing.T) {
	g := gomega.NewWithT(t)
	l := NewLedger()
	for i := range minCrashes {
		l.Crash(nth(2*time.Second, i), process(i), 0, 0, parts(faulty, part(0xfb)))
	}
	g.Expect(l.Quarantined()).To(gomega.HaveLen(2))
	l.ConfirmAlive(2*time.Second, process(1), 2*time.Second)
	l.ConfirmAlive(2*time.Second, Process{Host: "h1", StartID: 2}, 3*time.Second)
	g.Expect(l.Quarantined()).To(gomega.HaveLen(2), "sent before, or to the next process")
	g.Expect(l.ConfirmAlive(4*time.Second, process(1), 3*time.Second)).To(gomega.HaveLen(2))
	g.Expect(l.Quarantined()).To(gomega.BeEmpty())
}

// TestReview guards against a quarantine without end, against one that ends while such
// requests come, and against three more ends of targets after the review.
func TestReview(t *testing.T) {
	g := gomega.NewWithT(t)
	l := NewLedger()
	for i := range minCrashes {
		l.Crash(nth(time.Second, i), process(i), 0, 0, parts(faulty))
	}
	l.Tick(9 * time.Minute)
	l.Arrive(9*time.Minute, first, faulty)
	l.Tick(9*time.Minute + reviewTime - time.Second)
	g.Expect(l.Quarantined()).To(gomega.HaveLen(1))
	l.Transitions()
	l.Tick(9*time.Minute + reviewTime)
	g.Expect(l.Transitions()).To(gomega.Equal([]Transition{{Trait: faulty, Targets: minCrashes, Reviewed: true}}))
	g.Expect(l.Quarantined()).To(gomega.BeEmpty())
	l.Crash(20*time.Minute, process(0), 0, 0, parts(faulty))
	g.Expect(l.Quarantined()).To(gomega.BeEmpty(), "an old crash")
	l.Crash(20*time.Minute, process(7), 0, 0, parts(faulty))
	g.Expect(l.Quarantined()).To(gomega.HaveLen(1))
	l.Tick(31 * time.Minute)
	g.Expect(l.Quarantined()).To(gomega.BeEmpty())
	l.Merge(31*time.Minute, []state.TraitCrash{{Trait: faulty, Host: "h0", StartID: 1, Cleared: true}}, true)
	g.Expect(l.Quarantined()).To(gomega.BeEmpty(), "no new crash")
	l.Crash(31*time.Minute, process(6), 0, 0, parts(faulty))
	g.Expect(l.Quarantined()).To(gomega.HaveLen(1))
	l.Sound(32*time.Minute, completeAnswer(32*time.Minute), parts(faulty))
	g.Expect(l.Quarantined()).To(gomega.BeEmpty())
	l.Crash(33*time.Minute, process(8), 0, 0, parts(faulty))
	g.Expect(l.Quarantined()).To(gomega.BeEmpty(), "all evidence was cleared")
}

// TestLedgerIsBounded guards against memory that grows with the number of parts, and
// against the loss of a part in quarantine to others.
func TestLedgerIsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	l := NewLedger()
	for i := range 3 * maxCrashesPerTrait {
		l.Crash(nth(time.Second, i), process(i), 0, 0, parts(faulty))
	}
	for i := range 4 * maxTraits {
		l.Crash(time.Duration(i)*time.Second, process(i), 0, 0, parts(part(1000+i)))
	}
	g.Expect(len(l.records)).To(gomega.BeNumerically("~", maxTraits*7/8, maxTraits/8))
	g.Expect(l.counts[state.PromptPartTrait]).To(gomega.Equal(len(l.records)))
	g.Expect(l.records).To(gomega.HaveKey(part(1000+4*maxTraits-1)), "the newest")
	g.Expect(l.records[faulty].crashes).To(gomega.HaveLen(maxCrashesPerTrait))
	g.Expect(l.Quarantined()).To(gomega.HaveKey(faulty))
	g.Expect(l.Crashes(1)[0].Trait).To(gomega.Equal(faulty))
	for i := range 5 * maxRecentTraits {
		l.Sound(time.Hour, completeAnswer(time.Hour), parts(part(i)))
	}
	g.Expect(len(l.recent[0].current) + len(l.recent[0].previous)).To(gomega.BeNumerically("<=", 2*maxRecentTraits))
	l.Sound(time.Hour, completeAnswer(time.Hour), parts(faulty))
	for range 3 {
		l.Tick(2 * time.Hour)
	}
	g.Expect(l.records).NotTo(gomega.HaveKey(faulty), "a cleared crash is forgotten")
	// A part in quarantine is not forgotten for another one.
	l = NewLedger()
	for id := range maxTraits {
		part := part(id)
		for i := range minCrashes {
			l.Crash(nth(time.Second, i), process(minCrashes*id+i), 0, 0, parts(part))
		}
	}
	g.Expect(l.Crash(2*time.Second, process(minCrashes*maxTraits), 0, 0, parts(part(maxTraits)))).To(gomega.BeEmpty())
	g.Expect(l.Quarantined()).To(gomega.HaveLen(maxTraits))
	g.Expect(l.records).To(gomega.HaveLen(maxTraits))
}

// TestWaitForAVerdictEnds guards against a trait that was sound until a moment ago and is never
// refused, because its crashes stop the answers that its verdict waits for, and against the refusal
// of a sound one while all targets are lost.
func TestWaitForAVerdictEnds(t *testing.T) {
	for _, goesOn := range []bool{true, false} {
		g := gomega.NewWithT(t)
		l := NewLedger()
		l.Sound(time.Second, completeAnswer(0), parts(faulty))
		const from = 2 * time.Second
		for i := range minCrashes {
			l.Crash(nth(from, i), process(i), 0, 0, parts(faulty))
		}
		if goesOn {
			l.Crash(from+2*settleTime, process(9), 0, 0, parts(faulty))
		}
		l.Tick(from + verdictTimeout)
		g.Expect(l.Quarantined()).To(gomega.BeEmpty())
		l.Tick(nth(from, minCrashes) + verdictTimeout)
		g.Expect(l.Quarantined()).To(gomega.HaveLen(map[bool]int{true: 1}[goesOn]))
		g.Expect(l.Probation()).To(gomega.HaveLen(map[bool]int{true: 1}[goesOn]))
	}
}

// TestProbationEnds guards against trials of a faulty trait that go on, and against the long
// quarantine of a sound one after crashes of requests that were sent before its trials.
func TestProbationEnds(t *testing.T) {
	for trait, maxFailed := range map[state.Trait]int{faulty: maxFailedTrials, request(1): 1} {
		g := gomega.NewWithT(t)
		l := NewLedger()
		for i := range verdictWeight {
			l.Crash(nth(time.Second, i), process(i), 0, time.Second, parts(trait))
		}
		g.Expect(l.Probation()).To(gomega.HaveKey(trait))
		l.Crash(2*time.Second, process(20), time.Second, 0, parts(trait))
		g.Expect(l.Probation()).To(gomega.HaveKey(trait), "sent before")
		g.Expect(l.Quarantined()[trait]).To(gomega.BeNumerically("<", 2*time.Second))
		for i := range maxFailed {
			g.Expect(l.Probation()).To(gomega.HaveKey(trait))
			crashes := l.Crash(nth(3*time.Second, i), process(30+i), 2*time.Second, 0, parts(trait))
			g.Expect(crashes[0].Tried).To(gomega.BeTrue())
		}
		g.Expect(l.Probation()).To(gomega.BeEmpty())
		g.Expect(l.Quarantined()[trait]).To(gomega.BeNumerically(">=", 3*time.Second+reviewTime))
	}
}

// TestClearOfAPeerRestartsTheWait guards against the refusal of a part that most prompts have at a
// node to which few of them come.
func TestClearOfAPeerRestartsTheWait(t *testing.T) {
	g := gomega.NewWithT(t)
	l := NewLedger()
	l.Sound(time.Second, completeAnswer(0), parts(first))
	for i := range 20 {
		at := 2*time.Second + time.Duration(i)*settleTime
		l.Crash(at, process(i), 0, 0, parts(first))
		if i >= minCrashes {
			l.Merge(at, []state.TraitCrash{{Trait: first, Host: process(i - minCrashes).Host, StartID: 1, Cleared: true}}, false)
		}
		l.Tick(at)
		g.Expect(l.Quarantined()).To(gomega.BeEmpty())
	}
}
