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

func parts(list ...state.Trait) []state.Trait { return list }

// TestPartThatEndsThreeTargetsIsQuarantined guards against a part that ends one target
// after another, and against a quarantine of the sound part beside it or after fewer
// ends.
func TestPartThatEndsThreeTargetsIsQuarantined(t *testing.T) {
	g := gomega.NewWithT(t)
	l := NewLedger()
	for i := range minCrashes {
		g.Expect(l.Quarantined()).To(gomega.BeEmpty())
		g.Expect(l.Crash(time.Second, process(i), parts(first, faulty))).To(gomega.HaveLen(2))
		g.Expect(l.Crash(time.Second, process(i), parts(first, faulty))).To(gomega.BeEmpty(), "another stream that saw the same end")
		l.Start(time.Second, process(9), 0, parts(first))
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
		b.Merge(time.Second, a.Crash(time.Second, process(i), parts(faulty)))
	}
	g.Expect(b.Quarantined()).To(gomega.HaveKey(faulty))
	clears := a.Start(2*time.Second, process(5), time.Second, parts(faulty))
	g.Expect(clears).To(gomega.HaveLen(minCrashes))
	g.Expect(b.Merge(2*time.Second, clears)).To(gomega.Equal(clears))
	g.Expect(a.Quarantined()).To(gomega.BeEmpty())
	g.Expect(b.Quarantined()).To(gomega.BeEmpty())
	// A late report does not bring it back, and nothing is passed on twice.
	late := []state.TraitCrash{{Trait: faulty, Host: "h0", StartID: 1}, {Trait: faulty, Host: "h1", StartID: 1}, {Trait: faulty, Host: "h2", StartID: 1}}
	g.Expect(b.Merge(2*time.Second, late)).To(gomega.BeEmpty())
	g.Expect(b.Merge(2*time.Second, clears)).To(gomega.BeEmpty())
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
			l.Merge(time.Second, []state.TraitCrash{r})
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
	l.Start(time.Second, process(0), 0, parts(first))
	for i := range 8 {
		l.Crash(2*time.Second, process(i), parts(first))
	}
	for range minOtherStarts - 1 {
		l.Start(4*time.Second, process(20), 3*time.Second, parts(part(0xb2)))
	}
	g.Expect(l.Quarantined()).To(gomega.BeEmpty())
	g.Expect(l.Start(4*time.Second, process(20), 3*time.Second, parts(first))).To(gomega.HaveLen(8))
	for range minOtherStarts {
		l.Start(4*time.Second, process(20), 3*time.Second, parts(part(0xb2)))
	}
	g.Expect(l.Quarantined()).To(gomega.BeEmpty())
}

// TestStartsOfPlainServicesSayNothingOfParts guards against the refusal of a sound part that many
// requests have, because orders go on while all groups are lost.
func TestStartsOfPlainServicesSayNothingOfParts(t *testing.T) {
	g := gomega.NewWithT(t)
	l := NewLedger()
	l.Start(time.Second, process(0), 0, parts(first))
	for i := range minCrashes {
		l.Crash(2*time.Second, process(i), parts(first, faulty))
	}
	for i := range 10 * minOtherStarts {
		l.Start(4*time.Second, process(20), 3*time.Second, []state.Trait{{Kind: state.RequestTrait, ID: uint64(i)}})
	}
	g.Expect(l.Quarantined()).To(gomega.HaveKey(faulty))
	g.Expect(l.Quarantined()).NotTo(gomega.HaveKey(first))
}

// TestPartThatWasSoundIsQuarantined guards against a part that is never judged because
// its requests started well before.
func TestPartThatWasSoundIsQuarantined(t *testing.T) {
	g := gomega.NewWithT(t)
	l := NewLedger()
	l.Start(time.Second, process(0), 0, parts(faulty))
	for i := range minCrashes {
		l.Crash(2*time.Second, process(i), parts(faulty))
	}
	for range minOtherStarts {
		g.Expect(l.Quarantined()).To(gomega.BeEmpty())
		l.Start(3*time.Second, process(20), 2*time.Second, parts(first))
	}
	g.Expect(l.Quarantined()).To(gomega.HaveKey(faulty))
	// Without a start in the last minute it is judged at once.
	l = NewLedger()
	l.Start(time.Second, process(0), 0, parts(faulty))
	for i := range minCrashes {
		l.Crash(2*time.Minute, process(i), parts(faulty))
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
		l.Crash(2*time.Second, process(i), parts(faulty, part(0xfb)))
	}
	g.Expect(l.Quarantined()).To(gomega.HaveLen(2))
	l.Start(2*time.Second, process(1), 2*time.Second, parts(first))
	l.Start(2*time.Second, Process{Host: "h1", StartID: 2}, 3*time.Second, parts(first))
	g.Expect(l.Quarantined()).To(gomega.HaveLen(2), "sent before, or to the next process")
	g.Expect(l.Start(4*time.Second, process(1), 3*time.Second, parts(first))).To(gomega.HaveLen(2))
	g.Expect(l.Quarantined()).To(gomega.BeEmpty())
}

// TestReview guards against a quarantine without end, against one that ends while such
// requests come, and against three more ends of targets after the review.
func TestReview(t *testing.T) {
	g := gomega.NewWithT(t)
	l := NewLedger()
	for i := range minCrashes {
		l.Crash(time.Second, process(i), parts(faulty))
	}
	l.Tick(9 * time.Minute)
	l.Arrive(9*time.Minute, first, faulty)
	l.Tick(9*time.Minute + reviewTime - time.Second)
	g.Expect(l.Quarantined()).To(gomega.HaveLen(1))
	l.Transitions()
	l.Tick(9*time.Minute + reviewTime)
	g.Expect(l.Transitions()).To(gomega.Equal([]Transition{{Trait: faulty, Targets: minCrashes, Reviewed: true}}))
	g.Expect(l.Quarantined()).To(gomega.BeEmpty())
	l.Crash(20*time.Minute, process(0), parts(faulty))
	g.Expect(l.Quarantined()).To(gomega.BeEmpty(), "an old crash")
	l.Crash(20*time.Minute, process(7), parts(faulty))
	g.Expect(l.Quarantined()).To(gomega.HaveLen(1))
	l.Tick(31 * time.Minute)
	g.Expect(l.Quarantined()).To(gomega.BeEmpty())
	l.Merge(31*time.Minute, []state.TraitCrash{{Trait: faulty, Host: "h0", StartID: 1, Cleared: true}})
	g.Expect(l.Quarantined()).To(gomega.BeEmpty(), "no new crash")
	l.Crash(31*time.Minute, process(6), parts(faulty))
	g.Expect(l.Quarantined()).To(gomega.HaveLen(1))
	l.Start(32*time.Minute, process(9), 32*time.Minute, parts(faulty))
	g.Expect(l.Quarantined()).To(gomega.BeEmpty())
	l.Crash(33*time.Minute, process(8), parts(faulty))
	g.Expect(l.Quarantined()).To(gomega.BeEmpty(), "all evidence was cleared")
}

// TestLedgerIsBounded guards against memory that grows with the number of parts, and
// against the loss of a part in quarantine to others.
func TestLedgerIsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	l := NewLedger()
	for i := range 3 * maxCrashesPerTrait {
		l.Crash(time.Second, process(i), parts(faulty))
	}
	for i := range 4 * maxTraits {
		l.Crash(time.Duration(i)*time.Second, process(0), parts(part(1000+i)))
	}
	g.Expect(l.records).To(gomega.HaveLen(maxTraits))
	g.Expect(l.records[faulty].crashes).To(gomega.HaveLen(maxCrashesPerTrait))
	g.Expect(l.Quarantined()).To(gomega.HaveKey(faulty))
	g.Expect(l.Crashes(1)[0].Trait).To(gomega.Equal(faulty))
	for i := range 5 * maxRecentTraits {
		l.Start(time.Hour, process(99), time.Hour, parts(part(i)))
	}
	g.Expect(len(l.recent[0].current) + len(l.recent[0].previous)).To(gomega.BeNumerically("<=", 2*maxRecentTraits))
	l.Start(time.Hour, process(99), time.Hour, parts(faulty))
	for range 3 {
		l.Tick(2 * time.Hour)
	}
	g.Expect(l.records).NotTo(gomega.HaveKey(faulty), "a cleared crash is forgotten")
	// A part in quarantine is not forgotten for another one.
	l = NewLedger()
	for id := range maxTraits {
		part := part(id)
		for i := range minCrashes {
			l.Crash(time.Second, process(i), parts(part))
		}
	}
	g.Expect(l.Crash(2*time.Second, process(0), parts(part(maxTraits)))).To(gomega.BeEmpty())
	g.Expect(l.Quarantined()).To(gomega.HaveLen(maxTraits))
	g.Expect(l.records).To(gomega.HaveLen(maxTraits))
}
