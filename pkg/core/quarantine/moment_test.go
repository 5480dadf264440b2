package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

var wholeRequest = state.Trait{Kind: state.RequestTrait, ID: 0xe1}

// playMoment plays an attempt of a request at a target: its first event if it has one, and its
// end after a time.
func (f *fleet) playMoment(target int, firstEvent bool, after time.Duration, end state.AttemptEvent, traits ...state.Trait) {
	f.now += disturbanceTime
	id := f.send(target, traits...)
	if firstEvent {
		f.receiveFirstEvent(id)
	}
	f.now += after
	f.step(0, state.Tick{})
	end.Request, end.Attempt, end.Stage = id, 1, state.AttemptEnded
	f.step(0, end)
}

// send puts a request that the first node has just sent to a target.
func (f *fleet) send(target int, traits ...state.Trait) state.RequestID {
	f.requests++
	id := state.RequestID(fmt.Sprint(f.requests))
	f.nodes[0].tables.Requests.Put(id, &state.Request{
		Arrival: state.RequestArrived{ID: id}, Phase: state.RequestSent, Attempt: 1, SentAt: f.now,
		Target: state.TargetID(process(target).Host), TargetStartID: 1, Traits: traits, Route: f.route, AnswerStarted: f.resumed,
	})
	return id
}

// receiveFirstEvent feeds the first event of an answer, which is forwarded.
func (f *fleet) receiveFirstEvent(id state.RequestID) {
	f.step(0, state.AttemptEvent{Request: id, Attempt: 1, Stage: state.AttemptFirstByte})
	f.nodes[0].tables.Requests.Get(id).AnswerStarted = true
}

// begin sends a request to a target, which begins to answer it.
func (f *fleet) begin(target int, traits ...state.Trait) {
	f.receiveFirstEvent(f.send(target, traits...))
}

// putTarget lists a process, or removes it if it has ended.
func (f *fleet) putTarget(target int, listed bool) {
	p := process(target)
	if listed {
		f.nodes[0].tables.Managed.Instances.Put(p.Host, &state.Instance{ID: p.Host, StartID: p.StartID})
	} else {
		f.nodes[0].tables.Managed.Instances.Delete(p.Host)
	}
}

// TestMomentsOfLoss guards against a target that ends while it runs a request at a moment at which
// its loss counts for nothing, or at which it counts against requests that only waited or had run
// for long. It plays the table of moment for the whole request and for a part of its prompt.
func TestMomentsOfLoss(t *testing.T) {
	lost := func(status, events int) state.AttemptEvent {
		return state.AttemptEvent{Failure: state.FailureConnectionLost, Status: status, EventCount: events}
	}
	stream, plain := &state.Route{Stream: true}, &state.Route{}
	for name, c := range map[string]struct {
		route         *state.Route
		firstEvent    bool
		after         time.Duration
		end           state.AttemptEvent
		request, part bool
	}{
		"before the head":         {stream, false, 0, lost(0, 0), true, false},
		"before the first event":  {stream, false, 0, lost(200, 0), true, true},
		"at the first event":      {stream, true, 2 * time.Millisecond, lost(200, 1), true, true},
		"at the second event":     {stream, true, 30 * time.Millisecond, lost(200, 2), true, true},
		"at its beginning":        {stream, true, beginningTime - time.Millisecond, lost(200, 3), true, true},
		"later":                   {stream, true, beginningTime, lost(200, 9), false, false},
		"invalid after an event":  {stream, true, time.Millisecond, state.AttemptEvent{Failure: state.FailureConnectionLost, Status: 200, EventCount: 1, InvalidAnswer: true}, false, false},
		"silent after an event":   {stream, true, time.Millisecond, state.AttemptEvent{Failure: state.FailureInactivityTimeout, Status: 200, EventCount: 1}, false, false},
		"complete at once":        {stream, true, time.Millisecond, state.AttemptEvent{Status: 200, EventCount: 3}, false, false},
		"unary before the answer": {plain, false, 0, lost(0, 0), true, true},
		"unary complete":          {plain, false, 0, state.AttemptEvent{Status: 200}, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			f := newFleet(1)
			f.route = c.route
			for i := range minCrashes {
				f.putTarget(i, true)
				f.playMoment(i, c.firstEvent, c.after, c.end, first, wholeRequest)
				f.putTarget(i, false)
				f.now += time.Second
				f.step(0, state.Tick{})
			}
			quarantined := f.nodes[0].tables.Managed.Quarantined
			g.Expect(quarantined).To(gomega.HaveLen(map[bool]int{true: 1}[c.request] + map[bool]int{true: 1}[c.part]))
			if c.request {
				g.Expect(quarantined).To(gomega.HaveKey(wholeRequest))
			}
			if c.part {
				g.Expect(quarantined).To(gomega.HaveKey(first))
			}
		})
	}
}

// TestLateLossesCountLess guards against a request that ends its targets late in an answer and is
// never refused, and against a verdict on it after as few ends as at the beginning.
func TestLateLossesCountLess(t *testing.T) {
	for age, crashes := range map[time.Duration]int{beginningTime: 6, 300 * time.Millisecond: 6, lateTime: 12, 3 * time.Second: 12} {
		g := gomega.NewWithT(t)
		f := newFleet(2)
		for i := range crashes {
			f.expectQuarantined(g, false)
			f.playMoment(i, true, age, state.AttemptEvent{Failure: state.FailureConnectionLost, Status: 200, EventCount: 10}, first, faulty)
			f.step(0, state.Tick{})
			f.attempt(1, 20, started, first)
		}
		f.expectQuarantined(g, true)
		for _, n := range f.nodes {
			g.Expect(n.tables.Managed.Quarantined).To(gomega.HaveLen(1))
			g.Expect(n.tables.Managed.Probation).To(gomega.HaveKey(faulty), "tried at once")
		}
	}
}

// TestLossesAtTheSameMomentCountOnce guards against the refusal of a part because two targets have
// ended together.
func TestLossesAtTheSameMomentCountOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	l := NewLedger()
	for i := range minCrashes - 1 {
		for j := range minDisturbed - 1 {
			l.Crash(nth(time.Second, i), process(2*i+j), 0, 0, parts(faulty))
		}
	}
	g.Expect(l.Quarantined()).To(gomega.BeEmpty())
	l.Crash(nth(time.Second, minCrashes), process(9), 0, 0, parts(faulty))
	g.Expect(l.Quarantined()).To(gomega.HaveKey(faulty))
}

// TestDisturbanceCountsLess guards against the refusal of a part because a node has lost its
// connections to many targets, or domains have ended with their groups, and against requests that
// end several targets at the same moment again and again and are never refused.
func TestDisturbanceCountsLess(t *testing.T) {
	for age, disturbances := range map[time.Duration]int{0: 6, beginningTime: 100} {
		g := gomega.NewWithT(t)
		l, peer := NewLedger(), NewLedger()
		for i := range disturbances {
			for _, ledger := range []*Ledger{l, peer} {
				g.Expect(ledger.Quarantined()).To(gomega.BeEmpty())
			}
			for j := range minDisturbed {
				at := nth(time.Second, 2*i) + time.Duration(j)*time.Millisecond
				crashes := l.Crash(at, process(minDisturbed*i+j), 0, age, parts(faulty))
				peer.Merge(at, crashes, false)
			}
			for _, ledger := range []*Ledger{l, peer} {
				ledger.Tick(nth(time.Second, 2*i) + disturbanceTime)
			}
		}
		for _, ledger := range []*Ledger{l, peer} {
			g.Expect(ledger.Quarantined()).To(gomega.HaveLen(map[time.Duration]int{0: 1}[age]))
		}
	}
}

// TestLostAnswerOutlivesEarlierCrashes guards against the refusal of a part with long answers, of
// which none comes to its end in a time of many losses.
func TestLostAnswerOutlivesEarlierCrashes(t *testing.T) {
	g := gomega.NewWithT(t)
	l := NewLedger()
	for i := range 20 {
		l.Crash(time.Duration(i)*time.Second, process(2*i), 0, 10*time.Millisecond, parts(faulty))
		l.Crash(time.Duration(i+1)*time.Second-disturbanceTime, process(2*i+1), time.Duration(i)*time.Second, 900*time.Millisecond, parts(faulty))
		g.Expect(l.Quarantined()).To(gomega.BeEmpty())
	}
}

// TestRepeatThatEndsTheNextTargetCounts guards against a request whose repeat crashes the next target
// some milliseconds later, and which counts as one crash with the first.
func TestRepeatThatEndsTheNextTargetCounts(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(2)
	f.route = &state.Route{}
	for i := range minCrashes {
		id := f.send(i, wholeRequest)
		f.now += 5 * time.Millisecond
		f.step(0, state.AttemptEvent{Request: id, Attempt: 1, Stage: state.AttemptEnded, Failure: state.FailureConnectionLost})
	}
	for _, n := range f.nodes {
		g.Expect(n.tables.Managed.Quarantined).To(gomega.HaveKey(wholeRequest))
	}
}

// TestOnlyAWholeAnswerEndsTheSuspicion guards against an answer that has only begun, or is the rest
// of another one, and clears a part that ends its targets later.
func TestOnlyAWholeAnswerEndsTheSuspicion(t *testing.T) {
	const age = 300 * time.Millisecond
	crashes := func(f *fleet) int { return len(f.nodes[1].systems[1].(*System).ledger.CrashesOf(faulty)) }
	lost := state.AttemptEvent{Failure: state.FailureConnectionLost, Status: 200, EventCount: 10}
	for name, c := range map[string]struct {
		resumed bool
		age     time.Duration
		end     state.AttemptEvent
		clears  bool
	}{
		"cancelled":           {false, time.Minute, state.AttemptEvent{Failure: state.FailureCancelled, Status: 200, EventCount: 27}, false},
		"complete":            {false, time.Millisecond, state.AttemptEvent{Status: 200, EventCount: 3}, true},
		"short rest":          {true, age, state.AttemptEvent{Status: 200, EventCount: 9}, false},
		"longer rest":         {true, 2 * age, state.AttemptEvent{Status: 200, EventCount: 20}, true},
		"rest without events": {true, 0, state.AttemptEvent{Status: 200}, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			f := newFleet(2)
			for i := range minCrashes {
				f.playMoment(i, true, age, lost, faulty)
				f.now += time.Second
				f.step(0, state.Tick{})
			}
			g.Expect(crashes(f)).To(gomega.Equal(minCrashes))
			f.resumed = c.resumed
			f.playMoment(20, c.age > 0, c.age, c.end, faulty)
			g.Expect(crashes(f)).To(gomega.Equal(map[bool]int{false: minCrashes}[c.clears]))
			ledger := f.nodes[0].systems[1].(*System).ledger
			g.Expect(ledger.running).To(gomega.BeEmpty())
			g.Expect(ledger.wasSoundLately(f.now, faulty)).To(gomega.Equal(name == "complete"))
		})
	}
}

// TestAnswerSentBeforeTheCrashProvesNothing guards against requests that were sent before a part
// became faulty, and whose answers release it.
func TestAnswerSentBeforeTheCrashProvesNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	l := NewLedger()
	for i := range minCrashes {
		l.Crash(nth(time.Second, i), process(i), 0, 0, parts(faulty))
	}
	l.Sound(3*time.Second, completeAnswer(time.Second-1), parts(faulty))
	g.Expect(l.Quarantined()).To(gomega.HaveKey(faulty))
	l.Sound(3*time.Second, completeAnswer(2*time.Second), parts(faulty))
	g.Expect(l.Quarantined()).To(gomega.BeEmpty())
}

// TestLongAnswersOfASoundPartEndItsWait guards against the refusal of a part that nearly all
// prompts have, because its answers take longer than the wait for a verdict.
func TestLongAnswersOfASoundPartEndItsWait(t *testing.T) {
	for _, sound := range []bool{true, false} {
		g := gomega.NewWithT(t)
		f := newFleet(1)
		f.begin(50, faulty)
		f.now += time.Minute
		for i := range minCrashes {
			f.playMoment(i, true, 30*time.Millisecond, state.AttemptEvent{Failure: state.FailureConnectionLost, Status: 200, EventCount: 1}, faulty)
		}
		f.expectQuarantined(g, false)
		for i := range int(verdictTimeout / settleTime) {
			if sound {
				f.begin(51, faulty)
			}
			f.now += settleTime + time.Millisecond
			f.step(0, state.Tick{})
			f.playMoment(60+i, true, 30*time.Millisecond, state.AttemptEvent{Failure: state.FailureConnectionLost, Status: 200, EventCount: 1}, faulty)
		}
		f.step(0, state.Tick{})
		f.expectQuarantined(g, !sound)
	}
}
