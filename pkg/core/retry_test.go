package core_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// draftDoc declares groups of one model, in turn in the data centres north and
// coast.
func draftDoc(groups, cold, warm int) state.Document {
	doc := state.Document{
		Accounts:    []state.AccountSpec{{Name: "granite", Weight: 1}, {Name: "pilbara", Weight: 1}},
		DataCentres: []state.DataCentreSpec{{Name: "north"}, {Name: "coast"}},
	}
	for i := range groups {
		doc.Groups = append(doc.Groups, state.GroupSpec{
			Name: state.GroupID(fmt.Sprintf("g%d", i+1)), Model: "draft", Members: 1,
			DataCentre: doc.DataCentres[i%2].Name, ColdLimit: cold, WarmLimit: warm,
		})
	}
	return doc
}

func draft() state.RequestArrived {
	return state.RequestArrived{Account: "granite", Kind: state.KindModel, Model: "draft", Stream: true, CostTokens: 100}
}

// failing returns a target behaviour that ends each attempt with the event.
func failing(ev state.AttemptEvent) func(state.StartAttempt) *state.AttemptEvent {
	return func(state.StartAttempt) *state.AttemptEvent { c := ev; return &c }
}

var unreachable = state.AttemptEvent{Failure: state.FailureConnect, Outcome: apierror.NotRun}

var _ = Describe("retry", func() {
	var w *world
	var n *fakeNode
	begin := func(s state.Switches, groups int) {
		w = newWorld(1, s, draftDoc(groups, 100, 100))
		n = w.nodes[0]
		w.run(2 * time.Second)
	}
	failAll := func(f func(state.StartAttempt) *state.AttemptEvent) {
		for _, t := range w.targets {
			t.fail = f
		}
	}
	BeforeEach(func() { begin(state.Switches{}, 4) })

	// Guards against a retry into the data centre that just failed.
	It("retries first in another data centre", func() {
		failAll(failing(unreachable))
		w.send(n, draft())
		w.run(time.Second)
		Expect(len(n.starts)).To(BeNumerically(">=", 2))
		first, second := n.t.Targets.Get(n.starts[0].Target), n.t.Targets.Get(n.starts[1].Target)
		Expect(second.DataCentre).NotTo(Equal(first.DataCentre))
	})

	// Guards against a failure that retries multiply.
	It("bounds a retry storm against dead targets", func() {
		storm := func(s state.Switches, failure state.AttemptEvent) int {
			begin(s, 4)
			failAll(failing(failure))
			for range 200 {
				w.send(n, draft())
				w.run(10 * time.Millisecond)
			}
			w.run(time.Minute)
			return len(n.starts)
		}
		Expect(storm(state.Switches{}, unreachable)).To(BeNumerically("<=", 200+2*3))
		// A target that fails behind a live listener is never suspect, so that
		// only the budgets bound the retries.
		dead := state.AttemptEvent{Failure: state.FailureTargetError, Outcome: apierror.Unknown}
		bounded := storm(state.Switches{}, dead)
		Expect(bounded).To(BeNumerically("<=", 200+2*3))
		Expect(storm(state.Switches{IgnoreBudgets: true}, dead)).To(BeNumerically(">", 2*bounded))
	})

	// Guards against an answer that is put together from two generations.
	It("resumes a broken generation at its offset and never restarts it after a byte", func() {
		failAll(func(s state.StartAttempt) *state.AttemptEvent {
			if s.Resume == nil {
				return &state.AttemptEvent{
					Failure: state.FailureConnectionLost, Outcome: apierror.Unknown, Generation: "gen", Offset: 70, AnswerStarted: true,
				}
			}
			return nil
		})
		id := w.send(n, draft())
		w.run(time.Second)
		Expect(n.starts).To(HaveLen(2))
		Expect(n.starts[1].Resume).To(Equal(&state.ResumePoint{Target: n.starts[0].Target, Generation: "gen", Offset: 70}))
		Expect(n.starts[1].NewConnection).To(BeTrue())
		Expect(w.replies[id].Refusal).To(BeNil())

		failAll(failing(state.AttemptEvent{
			Failure: state.FailureConnectionLost, Outcome: apierror.Unknown, Generation: "gen", Offset: 70, AnswerStarted: true,
		}))
		n.starts = nil
		id = w.send(n, draft())
		w.run(10 * time.Second)
		Expect(n.starts).To(HaveLen(4), "one attempt and three resumes")
		for _, s := range n.starts[1:] {
			Expect(s.Resume).NotTo(BeNil())
		}
		Expect(w.replies[id].Refusal.Code).To(Equal("generation_lost"))
	})

	// Guards against a second deposit by a service call whose route nobody
	// declared: its method says that it may not be repeated.
	It("repeats a service call only by an idempotent method", func() {
		attempts := func(method string) int {
			w := newWorld(1, state.Switches{}, orderDoc(""))
			w.run(2 * time.Second)
			broken(w, true)
			w.send(w.nodes[0], state.RequestArrived{
				Account: "granite", Kind: state.KindService, Service: "orders", Method: method, Path: "/stock", CostTokens: 1,
			})
			w.run(10 * time.Second)
			return len(w.nodes[0].starts)
		}
		Expect(attempts("POST")).To(Equal(1))
		Expect(attempts("GET")).To(BeNumerically(">", 1))
	})

	// Guards against new work in the place of a generation that still runs, which
	// overfills its target and keeps the caller from resuming.
	It("keeps the place of a generation until it is resumed", func() {
		doc := draftDoc(1, 1, 1)
		doc.Accounts[0].Concurrency = 1
		w = newWorld(1, state.Switches{}, doc)
		n = w.nodes[0]
		w.run(2 * time.Second)
		failAll(func(s state.StartAttempt) *state.AttemptEvent {
			if s.Attempt == 1 && s.Request == "r0001" {
				return &state.AttemptEvent{
					Failure: state.FailureConnectionLost, Outcome: apierror.Unknown, Generation: "gen", Offset: 3, AnswerStarted: true,
				}
			}
			return nil
		})
		w.send(n, draft())
		other := w.send(n, draft())
		pilbara := draft()
		pilbara.Account = "pilbara"
		w.send(n, pilbara)
		w.run(20 * time.Millisecond)
		Expect(n.starts).To(HaveLen(2))
		Expect(n.starts[1].Resume).NotTo(BeNil())
		w.run(time.Second)
		Expect(w.replies[other].Refusal).To(BeNil())
		Expect(w.targets["g1"].peak).To(Equal(1))
		Expect(n.t.Targets.Get("g1").InFlight).To(BeZero())
	})

	// Guards against a caller that waits for a generation whose target is gone.
	It("restarts elsewhere when the target is gone and nothing was passed on", func() {
		var lost state.TargetID
		failAll(func(s state.StartAttempt) *state.AttemptEvent {
			switch {
			case lost == "":
				lost = s.Target
				return &state.AttemptEvent{Failure: state.FailureConnectionLost, Outcome: apierror.Unknown, Generation: "gen"}
			case s.Target == lost:
				return &state.AttemptEvent{Failure: state.FailureConnect, Outcome: apierror.NotRun}
			}
			return nil
		})
		id := w.send(n, draft())
		w.run(time.Second)
		Expect(w.replies[id].Refusal).To(BeNil())
		Expect(n.starts).To(HaveLen(3))
		Expect(n.starts[2].Resume).To(BeNil())
		Expect(n.starts[2].Target).NotTo(Equal(lost))
	})

	// Guards against a false "not run" when an earlier attempt may have run.
	It("keeps the outcome of earlier attempts in a refusal", func() {
		failAll(func(s state.StartAttempt) *state.AttemptEvent {
			if s.Attempt == 1 {
				return &state.AttemptEvent{Failure: state.FailureConnectionLost, Outcome: apierror.Unknown}
			}
			return &state.AttemptEvent{Failure: state.FailureConnect, Outcome: apierror.NotRun}
		})
		id := w.send(n, draft())
		w.run(time.Minute)
		Expect(w.replies[id].Refusal.Outcome).To(Equal(apierror.Unknown))
	})

	// Guards against the answer of an earlier attempt that a caller gets in
	// place of that of the running one.
	It("drops a late event of an earlier attempt", func() {
		late := func(s state.Switches) state.Reply {
			begin(s, 4)
			for _, t := range w.targets {
				t.fail = func(s state.StartAttempt) *state.AttemptEvent {
					if s.Attempt == 1 {
						return &state.AttemptEvent{Failure: state.FailureInactivityTimeout, Outcome: apierror.Unknown}
					}
					return nil
				}
			}
			id := w.send(n, draft())
			w.run(10 * time.Millisecond)
			Expect(n.starts).To(HaveLen(2))
			n.feed(state.AttemptEvent{
				Request: id, Attempt: 1, Stage: state.AttemptEnded, Outcome: apierror.Done,
				Answer: &state.Answer{Body: []byte("late")},
			})
			w.run(time.Second)
			Expect(n.t.Targets.Get(n.starts[1].Target).InFlight).To(BeZero())
			return w.replies[id]
		}
		Expect(string(late(state.Switches{}).Answer.Body)).To(HavePrefix("answer of"))
		Expect(n.t.Counters.StaleEvents).To(BeEquivalentTo(1))
		Expect(string(late(state.Switches{IgnoreAttempt: true}).Answer.Body)).To(Equal("late"))
	})

	// Guards against attempts for a caller that has stopped waiting.
	It("never retries after the deadline and ends a running attempt at it", func() {
		failAll(func(state.StartAttempt) *state.AttemptEvent {
			return &state.AttemptEvent{Failure: state.FailureInactivityTimeout, Outcome: apierror.Unknown}
		})
		a := draft()
		a.Timeout = 300 * time.Microsecond
		id := w.send(n, a)
		w.run(time.Second)
		Expect(n.starts).To(HaveLen(1))
		Expect(w.replies[id].Refusal.Kind).To(Equal(apierror.KindDeadline))

		failAll(nil)
		w.targets["g1"].serve, w.targets["g2"].serve = time.Hour, time.Hour
		w.targets["g3"].serve, w.targets["g4"].serve = time.Hour, time.Hour
		a.Timeout = time.Second
		id = w.send(n, a)
		w.run(2 * time.Second)
		Expect(w.repliedAt[id] - w.now).To(BeNumerically("~", -time.Second, 60*time.Millisecond))
		Expect(n.cancels).NotTo(BeEmpty())
	})

	// Guards against work for nobody, and against a generation that is cancelled
	// although its caller comes back for it.
	It("cancels for a caller that is gone only what cannot be resumed", func() {
		for _, t := range w.targets {
			t.serve = 30 * time.Second
		}
		plain, stream := w.send(n, draft()), w.send(n, draft())
		w.run(time.Millisecond)
		n.feed(state.AttemptEvent{Request: stream, Attempt: 1, Stage: state.AttemptFirstByte, Generation: "gen"})
		n.feed(state.CallerDisconnected{Request: plain})
		n.feed(state.CallerDisconnected{Request: stream})
		w.run(4 * time.Second)
		Expect(n.cancels).To(BeEmpty())
		w.run(3 * time.Second)
		Expect(n.cancels).To(Equal([]state.CancelAttempt{{Request: plain, Attempt: 1}}))
		w.run(30 * time.Second)
		Expect(w.replies[stream].Refusal).To(BeNil())
	})

	// Guards against an order that is cut off in the middle.
	It("never cancels a request with Once that was sent", func() {
		w = newWorld(1, state.Switches{}, orderDoc(""))
		n = w.nodes[0]
		w.run(2 * time.Second)
		w.targets["orders/a"].serve = 90 * time.Second
		id := w.send(n, order("k", "x"))
		w.run(time.Second)
		n.feed(state.CallerDisconnected{Request: id})
		w.run(80 * time.Second)
		Expect(w.replies[id].Refusal.Outcome).To(Equal(apierror.Unknown), "its deadline has passed")
		w.run(20 * time.Second)
		Expect(n.cancels).To(BeEmpty())
		Expect(storedPhase(w, "k")).To(Equal(state.ClaimDone))
	})

	// Guards against a caller that cannot learn what became of its request, and
	// against one that learns about the requests of others.
	It("answers outcome queries of the owner for five minutes", func() {
		w = newWorld(2, state.Switches{}, draftDoc(2, 100, 100))
		w.run(2 * time.Second)
		id := w.send(w.nodes[0], draft())
		w.run(time.Second)
		ask := func(account state.AccountID) state.OutcomeReply {
			var found state.OutcomeReply
			w.found = func(f state.OutcomeReply) { found = f }
			w.nodes[1].feed(state.OutcomeRequested{ID: 7, Account: account, Request: id})
			w.run(2 * time.Second)
			Expect(found.ID).To(BeEquivalentTo(7))
			return found
		}
		Expect(ask("granite").Answer.Outcome).To(Equal(apierror.Done))
		Expect(ask("granite").Node).To(Equal(state.NodeID("n1")))
		Expect(ask("pilbara").Answer.Found).To(BeFalse())
		w.run(5 * time.Minute)
		Expect(ask("granite").Answer.Found).To(BeFalse())
		Expect(w.nodes[0].t.Requests.Len()).To(BeZero())
	})
})
