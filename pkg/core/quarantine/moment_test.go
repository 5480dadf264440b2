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
	f.requests++
	id := state.RequestID(fmt.Sprint(f.requests))
	f.nodes[0].tables.Requests.Put(id, &state.Request{
		Arrival: state.RequestArrived{ID: id}, Phase: state.RequestSent, Attempt: 1, SentAt: f.now - time.Millisecond,
		Target: state.TargetID(process(target).Host), TargetStartID: 1, Traits: traits, Route: f.route,
	})
	if firstEvent {
		f.step(0, state.AttemptEvent{Request: id, Attempt: 1, Stage: state.AttemptFirstByte})
		// The answer has been forwarded.
		f.nodes[0].tables.Requests.Get(id).AnswerStarted = true
	}
	f.now += after
	f.step(0, state.Tick{})
	end.Request, end.Attempt, end.Stage = id, 1, state.AttemptEnded
	f.step(0, end)
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
		"at the second event":     {stream, true, beginningTime - time.Millisecond, lost(200, 2), true, true},
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

// TestBeginningEndsTheSuspicion guards against a start that counts at once, with which a request
// that ends its target at the first event clears what is known of it, and against one that never
// counts.
func TestBeginningEndsTheSuspicion(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(2)
	for i := range minCrashes - 1 {
		f.playMoment(i, true, time.Millisecond, state.AttemptEvent{Failure: state.FailureConnectionLost, Status: 200, EventCount: 1}, faulty)
	}
	f.playMoment(7, true, time.Millisecond, state.AttemptEvent{Failure: state.FailureCancelled, Status: 200, EventCount: 1}, first)
	g.Expect(f.nodes[1].systems[1].(*System).ledger.CrashesOf(faulty)).To(gomega.HaveLen(minCrashes - 1))
	f.attempt(0, 8, started, faulty)
	g.Expect(f.nodes[1].systems[1].(*System).ledger.CrashesOf(faulty)).To(gomega.BeEmpty())
	beginnings := f.nodes[0].systems[1].(*System).beginnings
	g.Expect(beginnings.answers).To(gomega.BeEmpty())
	g.Expect(beginnings.order).To(gomega.BeEmpty())
}
