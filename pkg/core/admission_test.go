package core_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

var _ = Describe("admission", func() {
	var sim *simulation
	var n *fakeNode
	// setUp starts one node with the given document and runs it for 2 s.
	setUp := func(switches state.Switches, doc state.Document) {
		sim = newSimulation(1, switches, doc)
		n = sim.nodes[0]
		sim.run(2 * time.Second)
	}
	requestFrom := func(account state.AccountID) state.RequestArrived {
		request := draftRequest()
		request.Account = account
		return request
	}
	// worstWait returns the longest time to the answer of 20 requests that one
	// account sends every 250 ms, after another account has sent 1,000 at once. A
	// request without an answer after 250 ms counts as an hour.
	worstWait := func(switches state.Switches) time.Duration {
		setUp(switches, draftDocument(1, 10, 10))
		for range 1000 {
			sim.send(n, requestFrom("granite"))
		}
		var worst time.Duration
		for range 20 {
			sentAt := sim.now
			id := sim.send(n, requestFrom("pilbara"))
			sim.run(250 * time.Millisecond)
			if at, ok := sim.repliedAt[id]; ok {
				worst = max(worst, at-sentAt)
			} else {
				worst = time.Hour
			}
		}
		return worst
	}

	// Guards against an account that occupies all targets by sending many requests.
	It("keeps a burst of one account from delaying another account", func() {
		// Admission does not interrupt running requests: a request waits up to
		// 100 ms for a slot and is served in 100 ms.
		Expect(worstWait(state.Switches{})).To(BeNumerically("<=", 205*time.Millisecond))
		Expect(worstWait(state.Switches{IgnoreFairness: true})).To(Equal(time.Hour))
	})

	// Guards against shares that do not follow the weights in force.
	It("divides capacity by the weights of the preset in force", func() {
		doc := draftDocument(1, 10, 10)
		doc.Presets = []state.PresetSpec{{Name: "ordinary", Weights: []state.AccountValue{{Account: "granite", Value: 3}}}}
		setUp(state.Switches{}, doc)
		for range 400 {
			sim.send(n, requestFrom("granite"))
			sim.send(n, requestFrom("pilbara"))
		}
		sim.run(3 * time.Second)
		startCount := map[state.AccountID]int{}
		for _, start := range n.starts[10:250] {
			startCount[n.tables.Requests.Get(start.Request).Arrival.Account]++
		}
		Expect(startCount["granite"]).To(BeNumerically("~", 180, 12))
	})

	// Guards against shares counted in requests: an account with long requests
	// would get several times the capacity of one with short requests.
	It("divides capacity by cost in tokens", func() {
		setUp(state.Switches{}, draftDocument(1, 10, 10))
		for range 400 {
			longRequest := requestFrom("granite")
			longRequest.CostTokens = 400
			sim.send(n, longRequest)
			sim.send(n, requestFrom("pilbara"))
		}
		sim.run(3 * time.Second)
		cost := map[state.AccountID]int64{}
		for _, start := range n.starts[10:210] {
			a := n.tables.Requests.Get(start.Request).Arrival
			cost[a.Account] += a.CostTokens
		}
		Expect(float64(cost["granite"]) / float64(cost["pilbara"])).To(BeNumerically("~", 1, 0.15))
	})

	// Guards against an account that waits for its own share after others used it,
	// and against a steady stream of single requests that starves an account with a
	// long queue.
	It("serves a returning account first, and a slow sender no more than its share", func() {
		setUp(state.Switches{}, draftDocument(1, 10, 10))
		for range 200 {
			sim.send(n, requestFrom("granite"))
		}
		sim.run(time.Second)
		startsBefore := len(n.starts)
		for range 10 {
			sim.send(n, requestFrom("pilbara"))
		}
		sim.run(150 * time.Millisecond)
		for _, start := range n.starts[startsBefore : startsBefore+5] {
			Expect(n.tables.Requests.Get(start.Request).Arrival.Account).To(Equal(state.AccountID("pilbara")))
		}

		setUp(state.Switches{}, draftDocument(1, 10, 10))
		for range 1000 {
			sim.send(n, requestFrom("granite"))
		}
		sim.run(time.Second)
		startsBefore = len(n.starts)
		for range 500 {
			sim.send(n, requestFrom("pilbara"))
			sim.run(10 * time.Millisecond)
		}
		granite := 0
		for _, start := range n.starts[startsBefore:] {
			if n.tables.Requests.Get(start.Request).Arrival.Account == "granite" {
				granite++
			}
		}
		Expect(granite).To(BeNumerically(">=", (len(n.starts)-startsBefore)*45/100))
	})

	// Guards against interactive requests that wait behind batch work.
	It("serves the priorities of an account in order", func() {
		setUp(state.Switches{}, draftDocument(1, 1, 1))
		for _, priority := range []state.Priority{state.PriorityNormal, state.PriorityBatch, state.PriorityNormal, state.PriorityInteractive} {
			request := requestFrom("granite")
			request.Priority = priority
			sim.send(n, request)
		}
		sim.run(time.Second)
		var order []state.Priority
		for _, start := range n.starts {
			order = append(order, n.tables.Requests.Get(start.Request).Arrival.Priority)
		}
		Expect(order[1:]).To(Equal([]state.Priority{state.PriorityInteractive, state.PriorityNormal, state.PriorityBatch}))
	})

	// Guards against a request that waits for one model and blocks the requests for
	// another.
	It("does not let a request wait for the capacity of another model", func() {
		doc := draftDocument(2, 1, 1)
		doc.Groups[1].Model = "quote"
		setUp(state.Switches{}, doc)
		for range 20 {
			sim.send(n, requestFrom("granite"))
		}
		request := requestFrom("granite")
		request.Model = "quote"
		id := sim.send(n, request)
		sim.run(150 * time.Millisecond)
		Expect(sim.replies).To(HaveKey(id))
	})

	// Guards against an account that exceeds its limit by using several nodes.
	It("enforces the concurrency limit of an account across all nodes", func() {
		doc := draftDocument(4, 100, 100)
		doc.Accounts[0].Concurrency = 5
		sim = newSimulation(2, state.Switches{}, doc)
		sim.run(2 * time.Second)
		for _, target := range sim.targets {
			target.serviceTime = 10 * time.Second
		}
		for range 10 {
			sim.send(sim.nodes[0], requestFrom("granite"))
		}
		sim.run(500 * time.Millisecond)
		Expect(sim.nodes[0].starts).To(HaveLen(5))
		Expect(sim.nodes[0].tables.Accounts.Get("granite").InFlight).To(Equal(5))
		other := sim.send(sim.nodes[1], requestFrom("granite"))
		sim.run(5 * time.Second)
		Expect(sim.nodes[1].starts).To(BeEmpty())
		sim.run(40 * time.Second)
		Expect(sim.replies[other].Refusal).To(BeNil())
		for _, n := range sim.nodes {
			Expect(n.tables.Accounts.Get("granite").InFlight).To(BeZero())
			Expect(n.tables.Accounts.Get("granite").Queued).To(BeZero())
		}
	})

	// Guards against requests that wait although they cannot succeed, and against
	// refused callers that all retry at the same moment.
	It("refuses a request at once if it cannot be served before its deadline", func() {
		setUp(state.Switches{}, draftDocument(1, 10, 10))
		for range 500 {
			sim.send(n, requestFrom("granite"))
		}
		sim.run(2 * time.Second)
		retryDelays := map[time.Duration]bool{}
		for range 10 {
			request := requestFrom("granite")
			request.Timeout = time.Second
			id := sim.send(n, request)
			refusal := sim.replies[id].Refusal
			Expect(refusal).NotTo(BeNil())
			Expect(refusal.Code).To(Equal("deadline_unreachable"))
			Expect(refusal.Outcome).To(Equal(apierror.NotRun))
			retryDelays[refusal.RetryAfter] = true
		}
		Expect(len(retryDelays)).To(BeNumerically(">=", 9))
		longDeadline := sim.send(n, requestFrom("granite"))
		sim.run(10 * time.Second)
		Expect(sim.replies[longDeadline].Refusal).To(BeNil())
	})

	// Guards against early refusals that follow from the low throughput of low
	// demand, or from the concurrency limit of another account.
	It("does not refuse early because of low demand or the limit of another account", func() {
		doc := draftDocument(1, 10, 10)
		doc.Accounts[0].Concurrency = 1
		setUp(state.Switches{}, doc)
		for range 100 {
			sim.send(n, requestFrom("granite"))
		}
		for range 50 {
			sim.run(100 * time.Millisecond)
			request := requestFrom("pilbara")
			request.Timeout = 300 * time.Millisecond
			id := sim.send(n, request)
			sim.run(150 * time.Millisecond)
			Expect(sim.replies).To(HaveKey(id))
			Expect(sim.replies[id].Refusal).To(BeNil())
		}
	})

	// Guards against requests that wait longer than their bound, and against
	// refusals that arrive late.
	It("bounds the time in the queue by the deadline, 30 s and the preset", func() {
		for _, c := range []struct {
			timeout, queueTime, bound time.Duration
			kind                      apierror.Kind
		}{
			{5 * time.Second, 0, 5 * time.Second, apierror.KindDeadline},
			{time.Minute, 0, 30 * time.Second, apierror.KindOverloaded},
			{time.Minute, 3 * time.Second, 3 * time.Second, apierror.KindOverloaded},
		} {
			doc := draftDocument(1, 10, 10)
			doc.Presets = []state.PresetSpec{{Name: "ordinary", MaxQueueTime: c.queueTime}}
			setUp(state.Switches{}, doc)
			n.tables.Groups.Get("g1").Healthy = false
			request := requestFrom("granite")
			request.Timeout = c.timeout
			sentAt, id := sim.now, sim.send(n, request)
			sim.run(time.Minute)
			Expect(sim.repliedAt[id] - sentAt).To(BeNumerically("~", c.bound, 50*time.Millisecond))
			Expect(sim.replies[id].Refusal.Kind).To(Equal(c.kind))
			Expect(sim.replies[id].Refusal.Outcome).To(Equal(apierror.NotRun))
		}
	})

	// Guards against new work of a node that may not have received the latest
	// changes of operators.
	It("sends nothing without a fresh configuration", func() {
		startsWhileStale := func(switches state.Switches) int {
			setUp(switches, draftDocument(1, 10, 10))
			n.tables.Config.Fresh = false
			id := sim.send(n, requestFrom("granite"))
			sim.run(10 * time.Second)
			startCount := len(n.starts)
			if startCount == 0 {
				Expect(sim.replies).NotTo(HaveKey(id))
				sim.run(21 * time.Second)
				Expect(sim.replies[id].Refusal.Kind).To(Equal(apierror.KindStale))
				waiting := sim.send(n, requestFrom("granite"))
				n.tables.Config.Fresh = true
				sim.run(200 * time.Millisecond)
				Expect(sim.replies[waiting].Refusal).To(BeNil())
			}
			return startCount
		}
		Expect(startsWhileStale(state.Switches{})).To(BeZero())
		Expect(startsWhileStale(state.Switches{IgnoreFreshness: true})).To(Equal(1))
	})

	// Guards against queued requests that wait for disabled targets.
	It("answers at once when a change leaves no target", func() {
		setUp(state.Switches{}, draftDocument(1, 1, 1))
		sim.send(n, requestFrom("granite"))
		queued := sim.send(n, requestFrom("granite"))
		n.tables.Config.Head.DisabledTargets, n.tables.Config.Head.Version = []state.TargetID{"g1"}, 2
		sim.run(50 * time.Millisecond)
		Expect(sim.replies[queued].Refusal.Code).To(Equal("no_target"))
		request := requestFrom("granite")
		request.Model = "unknown"
		Expect(sim.replies[sim.send(n, request)].Refusal.Kind).To(Equal(apierror.KindNotFound))
	})

	// Guards against an idempotency key that stays claimed after its request was
	// refused in the queue.
	It("releases the claim of an order that was refused in the queue", func() {
		setUp(state.Switches{}, orderDocument(""))
		n.tables.Config.Fresh = false
		request := orderRequest("k", "x")
		request.Timeout = 2 * time.Second
		id := sim.send(n, request)
		sim.run(time.Second)
		Expect(storedClaimPhase(sim, "k")).To(Equal(state.ClaimHeld))
		sim.run(2 * time.Second)
		Expect(sim.replies[id].Refusal.Outcome).To(Equal(apierror.NotRun))
		Expect(storedClaimPhase(sim, "k")).To(Equal(state.ClaimNotRun))
		n.tables.Config.Fresh = true
		again := sim.send(n, orderRequest("k", "x"))
		sim.run(time.Second)
		Expect(sim.replies[again].Refusal).To(BeNil())
		Expect(sim.targets["orders/a"].executions["granite:k"]).To(Equal(1))
	})

	// Guards against a caller that waits for a generation whose target no longer
	// accepts work.
	It("restarts on another target when the resume target accepts no work", func() {
		setUp(state.Switches{}, draftDocument(2, 10, 10))
		for _, target := range sim.targets {
			target.injectFault = func(start state.StartAttempt) *state.AttemptEvent {
				if start.Attempt == 1 {
					g := n.tables.Groups.Get(state.GroupID(start.Target))
					g.Healthy = false
					return &state.AttemptEvent{Failure: state.FailureConnectionLost, Outcome: apierror.Unknown, Generation: "gen"}
				}
				return nil
			}
		}
		id := sim.send(n, requestFrom("granite"))
		sim.run(4 * time.Second)
		Expect(n.starts).To(HaveLen(2))
		Expect(n.starts[1].Resume).To(BeNil())
		Expect(sim.replies[id].Refusal).To(BeNil())
	})

	// Guards against a queue that keeps the requests of disconnected callers.
	It("removes a request from the queue when its caller disconnects", func() {
		setUp(state.Switches{}, draftDocument(1, 1, 1))
		sim.send(n, requestFrom("granite"))
		id := sim.send(n, requestFrom("granite"))
		n.feed(state.CallerDisconnected{Request: id})
		sim.run(time.Second)
		Expect(n.starts).To(HaveLen(1))
		Expect(sim.replies[id].Refusal.Outcome).To(Equal(apierror.NotRun))
		Expect(n.tables.Accounts.Get("granite").Queued).To(BeZero())
	})
})
