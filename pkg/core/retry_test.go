package core_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// draftDocument declares groups of one model with the given limits, alternately in
// the data centres north and coast.
func draftDocument(groups, cold, warm int) state.Document {
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

func draftRequest() state.RequestArrived {
	return state.RequestArrived{Account: "granite", Kind: state.KindModel, Model: "draft", Stream: true, CostTokens: 100}
}

// failWith returns a fault function that ends each attempt with the event.
func failWith(event state.AttemptEvent) func(state.StartAttempt) *state.AttemptEvent {
	return func(state.StartAttempt) *state.AttemptEvent { clone := event; return &clone }
}

var connectFailure = state.AttemptEvent{Failure: state.FailureConnect, Outcome: apierror.NotRun}

var _ = Describe("retry", func() {
	var sim *simulation
	var n *fakeNode
	setUp := func(switches state.Switches, groups int) {
		sim = newSimulation(1, switches, draftDocument(groups, 100, 100))
		n = sim.nodes[0]
		sim.run(2 * time.Second)
	}
	setFault := func(injectFault func(state.StartAttempt) *state.AttemptEvent) {
		for _, target := range sim.targets {
			target.injectFault = injectFault
		}
	}
	BeforeEach(func() { setUp(state.Switches{}, 4) })

	// Guards against a retry in the data centre that just failed.
	It("retries first in another data centre", func() {
		setFault(failWith(connectFailure))
		sim.send(n, draftRequest())
		sim.run(time.Second)
		Expect(len(n.starts)).To(BeNumerically(">=", 2))
		first, second := n.tables.Targets.Get(n.starts[0].Target), n.tables.Targets.Get(n.starts[1].Target)
		Expect(second.DataCentre).NotTo(Equal(first.DataCentre))
	})

	// Guards against retries that multiply the load of a failure.
	It("bounds a retry storm against dead targets", func() {
		attemptsInStorm := func(switches state.Switches, failure state.AttemptEvent) int {
			setUp(switches, 4)
			setFault(failWith(failure))
			for range 200 {
				sim.send(n, draftRequest())
				sim.run(10 * time.Millisecond)
			}
			sim.run(time.Minute)
			return len(n.starts)
		}
		Expect(attemptsInStorm(state.Switches{}, connectFailure)).To(BeNumerically("<=", 200+2*3))
		// A target that fails while it still accepts connections is never suspect,
		// so that only the retry budgets bound the retries.
		targetError := state.AttemptEvent{Failure: state.FailureTargetError, Outcome: apierror.Unknown}
		withBudgets := attemptsInStorm(state.Switches{}, targetError)
		Expect(withBudgets).To(BeNumerically("<=", 200+2*3))
		Expect(attemptsInStorm(state.Switches{IgnoreBudgets: true}, targetError)).To(BeNumerically(">", 2*withBudgets))
	})

	// Guards against an answer that is assembled from two generations.
	It("resumes an interrupted generation at its offset and never restarts it after the first byte", func() {
		setFault(func(start state.StartAttempt) *state.AttemptEvent {
			if start.Resume == nil {
				return &state.AttemptEvent{
					Failure: state.FailureConnectionLost, Outcome: apierror.Unknown, Generation: "gen", Offset: 70, AnswerStarted: true,
				}
			}
			return nil
		})
		id := sim.send(n, draftRequest())
		sim.run(time.Second)
		Expect(n.starts).To(HaveLen(2))
		Expect(n.starts[1].Resume).To(Equal(&state.ResumePoint{Target: n.starts[0].Target, Generation: "gen", Offset: 70}))
		Expect(n.starts[1].NewConnection).To(BeTrue())
		Expect(sim.replies[id].Refusal).To(BeNil())

		setFault(failWith(state.AttemptEvent{
			Failure: state.FailureConnectionLost, Outcome: apierror.Unknown, Generation: "gen", Offset: 70, AnswerStarted: true,
		}))
		n.starts = nil
		id = sim.send(n, draftRequest())
		sim.run(10 * time.Second)
		Expect(n.starts).To(HaveLen(4), "one attempt and three resumes")
		for _, start := range n.starts[1:] {
			Expect(start.Resume).NotTo(BeNil())
		}
		Expect(sim.replies[id].Refusal.Code).To(Equal("generation_lost"))
	})

	// Guards against a second deposit by a service call on a route that is not
	// declared: its method shows that it must not be repeated.
	It("retries a service call only if its method is idempotent", func() {
		attempts := func(method string) int {
			sim := newSimulation(1, state.Switches{}, orderDocument(""))
			sim.run(2 * time.Second)
			breakConnections(sim, true)
			sim.send(sim.nodes[0], state.RequestArrived{
				Account: "granite", Kind: state.KindService, Service: "orders", Method: method, Path: "/stock", CostTokens: 1,
			})
			sim.run(10 * time.Second)
			return len(sim.nodes[0].starts)
		}
		Expect(attempts("POST")).To(Equal(1))
		Expect(attempts("GET")).To(BeNumerically(">", 1))
	})

	// Guards against new work in the slot of a generation that still runs, which
	// overloads its target and keeps the caller from resuming.
	It("keeps the slot of a generation until it is resumed", func() {
		doc := draftDocument(1, 1, 1)
		doc.Accounts[0].Concurrency = 1
		sim = newSimulation(1, state.Switches{}, doc)
		n = sim.nodes[0]
		sim.run(2 * time.Second)
		setFault(func(start state.StartAttempt) *state.AttemptEvent {
			if start.Attempt == 1 && start.Request == "r0001" {
				return &state.AttemptEvent{
					Failure: state.FailureConnectionLost, Outcome: apierror.Unknown, Generation: "gen", Offset: 3, AnswerStarted: true,
				}
			}
			return nil
		})
		sim.send(n, draftRequest())
		other := sim.send(n, draftRequest())
		pilbara := draftRequest()
		pilbara.Account = "pilbara"
		sim.send(n, pilbara)
		sim.run(20 * time.Millisecond)
		Expect(n.starts).To(HaveLen(2))
		Expect(n.starts[1].Resume).NotTo(BeNil())
		sim.run(time.Second)
		Expect(sim.replies[other].Refusal).To(BeNil())
		Expect(sim.targets["g1"].peakRunning).To(Equal(1))
		Expect(n.tables.Targets.Get("g1").InFlight).To(BeZero())
	})

	// Guards against a caller that waits for a generation whose target is gone.
	It("restarts on another target when the target is gone and the answer has not started", func() {
		var lostTarget state.TargetID
		setFault(func(start state.StartAttempt) *state.AttemptEvent {
			switch {
			case lostTarget == "":
				lostTarget = start.Target
				return &state.AttemptEvent{Failure: state.FailureConnectionLost, Outcome: apierror.Unknown, Generation: "gen"}
			case start.Target == lostTarget:
				return &state.AttemptEvent{Failure: state.FailureConnect, Outcome: apierror.NotRun}
			}
			return nil
		})
		id := sim.send(n, draftRequest())
		sim.run(time.Second)
		Expect(sim.replies[id].Refusal).To(BeNil())
		Expect(n.starts).To(HaveLen(3))
		Expect(n.starts[2].Resume).To(BeNil())
		Expect(n.starts[2].Target).NotTo(Equal(lostTarget))
	})

	// Guards against a false "not run" when an earlier attempt may have run.
	It("keeps the outcome of earlier attempts in a refusal", func() {
		setFault(func(start state.StartAttempt) *state.AttemptEvent {
			if start.Attempt == 1 {
				return &state.AttemptEvent{Failure: state.FailureConnectionLost, Outcome: apierror.Unknown}
			}
			return &state.AttemptEvent{Failure: state.FailureConnect, Outcome: apierror.NotRun}
		})
		id := sim.send(n, draftRequest())
		sim.run(time.Minute)
		Expect(sim.replies[id].Refusal.Outcome).To(Equal(apierror.Unknown))
	})

	// Guards against a caller that receives the answer of an earlier attempt
	// instead of the answer of the running one.
	It("drops a late event of an earlier attempt", func() {
		replyAfterLateEvent := func(switches state.Switches) state.Reply {
			setUp(switches, 4)
			for _, target := range sim.targets {
				target.injectFault = func(start state.StartAttempt) *state.AttemptEvent {
					if start.Attempt == 1 {
						return &state.AttemptEvent{Failure: state.FailureInactivityTimeout, Outcome: apierror.Unknown}
					}
					return nil
				}
			}
			id := sim.send(n, draftRequest())
			sim.run(10 * time.Millisecond)
			Expect(n.starts).To(HaveLen(2))
			n.feed(state.AttemptEvent{
				Request: id, Attempt: 1, Stage: state.AttemptEnded, Outcome: apierror.Done,
				Answer: &state.Answer{Body: []byte("late")},
			})
			sim.run(time.Second)
			Expect(n.tables.Targets.Get(n.starts[1].Target).InFlight).To(BeZero())
			return sim.replies[id]
		}
		Expect(string(replyAfterLateEvent(state.Switches{}).Answer.Body)).To(HavePrefix("answer of"))
		Expect(n.tables.Counters.StaleEvents).To(BeEquivalentTo(1))
		Expect(string(replyAfterLateEvent(state.Switches{IgnoreAttempt: true}).Answer.Body)).To(Equal("late"))
	})

	// Guards against attempts for a caller that has stopped waiting.
	It("never retries after the deadline and cancels a running attempt at the deadline", func() {
		setFault(func(state.StartAttempt) *state.AttemptEvent {
			return &state.AttemptEvent{Failure: state.FailureInactivityTimeout, Outcome: apierror.Unknown}
		})
		request := draftRequest()
		request.Timeout = 300 * time.Microsecond
		id := sim.send(n, request)
		sim.run(time.Second)
		Expect(n.starts).To(HaveLen(1))
		Expect(sim.replies[id].Refusal.Kind).To(Equal(apierror.KindDeadline))

		setFault(nil)
		sim.targets["g1"].serviceTime, sim.targets["g2"].serviceTime = time.Hour, time.Hour
		sim.targets["g3"].serviceTime, sim.targets["g4"].serviceTime = time.Hour, time.Hour
		request.Timeout = time.Second
		id = sim.send(n, request)
		sim.run(2 * time.Second)
		Expect(sim.repliedAt[id] - sim.now).To(BeNumerically("~", -time.Second, 60*time.Millisecond))
		Expect(n.cancels).NotTo(BeEmpty())
	})

	// Guards against work without a caller, and against the cancellation of a
	// generation that its caller comes back to resume.
	It("cancels the request of a disconnected caller only if it cannot be resumed", func() {
		for _, target := range sim.targets {
			target.serviceTime = 30 * time.Second
		}
		plain, stream := sim.send(n, draftRequest()), sim.send(n, draftRequest())
		sim.run(time.Millisecond)
		n.feed(state.AttemptEvent{Request: stream, Attempt: 1, Stage: state.AttemptFirstByte, Generation: "gen"})
		n.feed(state.CallerDisconnected{Request: plain})
		n.feed(state.CallerDisconnected{Request: stream})
		sim.run(4 * time.Second)
		Expect(n.cancels).To(BeEmpty())
		sim.run(3 * time.Second)
		Expect(n.cancels).To(Equal([]state.CancelAttempt{{Request: plain, Attempt: 1}}))
		sim.run(30 * time.Second)
		Expect(sim.replies[stream].Refusal).To(BeNil())
	})

	// Guards against an order that is interrupted halfway.
	It("never cancels an at-most-once request that was sent", func() {
		sim = newSimulation(1, state.Switches{}, orderDocument(""))
		n = sim.nodes[0]
		sim.run(2 * time.Second)
		sim.targets["orders/a"].serviceTime = 90 * time.Second
		id := sim.send(n, orderRequest("k", "x"))
		sim.run(time.Second)
		n.feed(state.CallerDisconnected{Request: id})
		sim.run(80 * time.Second)
		Expect(sim.replies[id].Refusal.Outcome).To(Equal(apierror.Unknown), "its deadline has passed")
		sim.run(20 * time.Second)
		Expect(n.cancels).To(BeEmpty())
		Expect(storedClaimPhase(sim, "k")).To(Equal(state.ClaimDone))
	})

	// Guards against a caller that cannot learn the outcome of its request, and
	// against one that learns the outcomes of other accounts' requests.
	It("answers outcome queries of the owner for five minutes", func() {
		sim = newSimulation(2, state.Switches{}, draftDocument(2, 100, 100))
		sim.run(2 * time.Second)
		id := sim.send(sim.nodes[0], draftRequest())
		sim.run(time.Second)
		queryOutcome := func(account state.AccountID) state.OutcomeReply {
			var reply state.OutcomeReply
			sim.onOutcomeReply = func(answer state.OutcomeReply) { reply = answer }
			sim.nodes[1].feed(state.OutcomeRequested{ID: 7, Account: account, Request: id})
			sim.run(2 * time.Second)
			Expect(reply.ID).To(BeEquivalentTo(7))
			return reply
		}
		Expect(queryOutcome("granite").Answer.Outcome).To(Equal(apierror.Done))
		Expect(queryOutcome("granite").Node).To(Equal(state.NodeID("n1")))
		Expect(queryOutcome("pilbara").Answer.Found).To(BeFalse())
		sim.run(5 * time.Minute)
		Expect(queryOutcome("granite").Answer.Found).To(BeFalse())
		Expect(sim.nodes[0].tables.Requests.Len()).To(BeZero())
	})
})
