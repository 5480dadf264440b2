package core_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

var _ = Describe("admission", func() {
	var w *world
	var n *fakeNode
	// begin makes one group that serves ten requests at once.
	begin := func(s state.Switches, doc state.Document) {
		w = newWorld(1, s, doc)
		n = w.nodes[0]
		w.run(2 * time.Second)
	}
	from := func(account state.AccountID) state.RequestArrived {
		a := draft()
		a.Account = account
		return a
	}
	// waits returns the times to the answers of requests that one account sends
	// each 250 ms, while another has sent a thousand at once.
	waits := func(s state.Switches) time.Duration {
		begin(s, draftDoc(1, 10, 10))
		for range 1000 {
			w.send(n, from("granite"))
		}
		var worst time.Duration
		for range 20 {
			sent := w.now
			id := w.send(n, from("pilbara"))
			w.run(250 * time.Millisecond)
			if at, ok := w.repliedAt[id]; ok {
				worst = max(worst, at-sent)
			} else {
				worst = time.Hour
			}
		}
		return worst
	}

	// Guards against an account that takes all targets by sending much.
	It("keeps one account's flood from delaying another", func() {
		// Running work is not interrupted: a request waits for one slot, 100 ms,
		// and is served in 100 ms.
		Expect(waits(state.Switches{})).To(BeNumerically("<=", 205*time.Millisecond))
		Expect(waits(state.Switches{IgnoreFairness: true})).To(Equal(time.Hour))
	})

	// Guards against a share that does not follow the weights in force.
	It("shares by the weights of the preset in force", func() {
		doc := draftDoc(1, 10, 10)
		doc.Presets = []state.PresetSpec{{Name: "ordinary", Weights: []state.AccountValue{{Account: "granite", Value: 3}}}}
		begin(state.Switches{}, doc)
		for range 400 {
			w.send(n, from("granite"))
			w.send(n, from("pilbara"))
		}
		w.run(3 * time.Second)
		count := map[state.AccountID]int{}
		for _, s := range n.starts[10:250] {
			count[n.t.Requests.Get(s.Request).Arrival.Account]++
		}
		Expect(count["granite"]).To(BeNumerically("~", 180, 12))
	})

	// Guards against shares by number: an account with long requests would get
	// several times the work of one with short ones.
	It("shares by cost in tokens", func() {
		begin(state.Switches{}, draftDoc(1, 10, 10))
		for range 400 {
			long := from("granite")
			long.CostTokens = 400
			w.send(n, long)
			w.send(n, from("pilbara"))
		}
		w.run(3 * time.Second)
		cost := map[state.AccountID]int64{}
		for _, s := range n.starts[10:210] {
			a := n.t.Requests.Get(s.Request).Arrival
			cost[a.Account] += a.CostTokens
		}
		Expect(float64(cost["granite"]) / float64(cost["pilbara"])).To(BeNumerically("~", 1, 0.15))
	})

	// Guards against an owner that waits for its own share after others used it,
	// and against a trickle that starves an account with a long queue.
	It("serves an account that comes back first, and a trickle no more than its share", func() {
		begin(state.Switches{}, draftDoc(1, 10, 10))
		for range 200 {
			w.send(n, from("granite"))
		}
		w.run(time.Second)
		sent := len(n.starts)
		for range 10 {
			w.send(n, from("pilbara"))
		}
		w.run(150 * time.Millisecond)
		for _, s := range n.starts[sent : sent+5] {
			Expect(n.t.Requests.Get(s.Request).Arrival.Account).To(Equal(state.AccountID("pilbara")))
		}

		begin(state.Switches{}, draftDoc(1, 10, 10))
		for range 1000 {
			w.send(n, from("granite"))
		}
		w.run(time.Second)
		sent = len(n.starts)
		for range 500 {
			w.send(n, from("pilbara"))
			w.run(10 * time.Millisecond)
		}
		granite := 0
		for _, s := range n.starts[sent:] {
			if n.t.Requests.Get(s.Request).Arrival.Account == "granite" {
				granite++
			}
		}
		Expect(granite).To(BeNumerically(">=", (len(n.starts)-sent)*45/100))
	})

	// Guards against interactive requests that wait behind batch work.
	It("serves the priorities of an account in order", func() {
		begin(state.Switches{}, draftDoc(1, 1, 1))
		for _, p := range []state.Priority{state.PriorityNormal, state.PriorityBatch, state.PriorityNormal, state.PriorityInteractive} {
			a := from("granite")
			a.Priority = p
			w.send(n, a)
		}
		w.run(time.Second)
		var order []state.Priority
		for _, s := range n.starts {
			order = append(order, n.t.Requests.Get(s.Request).Arrival.Priority)
		}
		Expect(order[1:]).To(Equal([]state.Priority{state.PriorityInteractive, state.PriorityNormal, state.PriorityBatch}))
	})

	// Guards against a request that waits for one model and holds up another.
	It("lets no model wait for the capacity of another", func() {
		doc := draftDoc(2, 1, 1)
		doc.Groups[1].Model = "quote"
		begin(state.Switches{}, doc)
		for range 20 {
			w.send(n, from("granite"))
		}
		a := from("granite")
		a.Model = "quote"
		id := w.send(n, a)
		w.run(150 * time.Millisecond)
		Expect(w.replies).To(HaveKey(id))
	})

	// Guards against an account that exceeds its limit through several nodes.
	It("holds the concurrency limit of an account over all nodes", func() {
		doc := draftDoc(4, 100, 100)
		doc.Accounts[0].Concurrency = 5
		w = newWorld(2, state.Switches{}, doc)
		w.run(2 * time.Second)
		for _, t := range w.targets {
			t.serve = 10 * time.Second
		}
		for range 10 {
			w.send(w.nodes[0], from("granite"))
		}
		w.run(500 * time.Millisecond)
		Expect(w.nodes[0].starts).To(HaveLen(5))
		Expect(w.nodes[0].t.Accounts.Get("granite").InFlight).To(Equal(5))
		other := w.send(w.nodes[1], from("granite"))
		w.run(5 * time.Second)
		Expect(w.nodes[1].starts).To(BeEmpty())
		w.run(40 * time.Second)
		Expect(w.replies[other].Refusal).To(BeNil())
		for _, n := range w.nodes {
			Expect(n.t.Accounts.Get("granite").InFlight).To(BeZero())
			Expect(n.t.Accounts.Get("granite").Queued).To(BeZero())
		}
	})

	// Guards against a wait for what cannot succeed, and against refused callers
	// that all come back at the same moment.
	It("refuses at once what cannot be served before its deadline", func() {
		begin(state.Switches{}, draftDoc(1, 10, 10))
		for range 500 {
			w.send(n, from("granite"))
		}
		w.run(2 * time.Second)
		after := map[time.Duration]bool{}
		for range 10 {
			a := from("granite")
			a.Timeout = time.Second
			id := w.send(n, a)
			refusal := w.replies[id].Refusal
			Expect(refusal).NotTo(BeNil())
			Expect(refusal.Code).To(Equal("deadline_unreachable"))
			Expect(refusal.Outcome).To(Equal(apierror.NotRun))
			after[refusal.RetryAfter] = true
		}
		Expect(len(after)).To(BeNumerically(">=", 9))
		patient := w.send(n, from("granite"))
		w.run(10 * time.Second)
		Expect(w.replies[patient].Refusal).To(BeNil())
	})

	// Guards against early refusals that follow from low demand or from another
	// account's own limit.
	It("does not refuse early without a queue that explains it", func() {
		doc := draftDoc(1, 10, 10)
		doc.Accounts[0].Concurrency = 1
		begin(state.Switches{}, doc)
		for range 100 {
			w.send(n, from("granite"))
		}
		for range 50 {
			w.run(100 * time.Millisecond)
			a := from("pilbara")
			a.Timeout = 300 * time.Millisecond
			id := w.send(n, a)
			w.run(150 * time.Millisecond)
			Expect(w.replies).To(HaveKey(id))
			Expect(w.replies[id].Refusal).To(BeNil())
		}
	})

	// Guards against requests that wait longer than their bound or that are told
	// late that nothing will come.
	It("bounds the wait by deadline, 30 s and the preset", func() {
		for _, c := range []struct {
			timeout, queueTime, bound time.Duration
			kind                      apierror.Kind
		}{
			{5 * time.Second, 0, 5 * time.Second, apierror.KindDeadline},
			{time.Minute, 0, 30 * time.Second, apierror.KindOverloaded},
			{time.Minute, 3 * time.Second, 3 * time.Second, apierror.KindOverloaded},
		} {
			doc := draftDoc(1, 10, 10)
			doc.Presets = []state.PresetSpec{{Name: "ordinary", MaxQueueTime: c.queueTime}}
			begin(state.Switches{}, doc)
			n.t.Groups.Get("g1").Healthy = false
			a := from("granite")
			a.Timeout = c.timeout
			sent, id := w.now, w.send(n, a)
			w.run(time.Minute)
			Expect(w.repliedAt[id] - sent).To(BeNumerically("~", c.bound, 50*time.Millisecond))
			Expect(w.replies[id].Refusal.Kind).To(Equal(c.kind))
			Expect(w.replies[id].Refusal.Outcome).To(Equal(apierror.NotRun))
		}
	})

	// Guards against new work of a node that cannot know what was taken out.
	It("sends nothing without a fresh configuration", func() {
		starts := func(s state.Switches) int {
			begin(s, draftDoc(1, 10, 10))
			n.t.Config.Fresh = false
			id := w.send(n, from("granite"))
			w.run(10 * time.Second)
			early := len(n.starts)
			if early == 0 {
				Expect(w.replies).NotTo(HaveKey(id))
				w.run(21 * time.Second)
				Expect(w.replies[id].Refusal.Kind).To(Equal(apierror.KindStale))
				waiting := w.send(n, from("granite"))
				n.t.Config.Fresh = true
				w.run(200 * time.Millisecond)
				Expect(w.replies[waiting].Refusal).To(BeNil())
			}
			return early
		}
		Expect(starts(state.Switches{})).To(BeZero())
		Expect(starts(state.Switches{IgnoreFreshness: true})).To(Equal(1))
	})

	// Guards against queued requests that wait for targets that were taken out.
	It("answers at once when a change leaves no target", func() {
		begin(state.Switches{}, draftDoc(1, 1, 1))
		w.send(n, from("granite"))
		queued := w.send(n, from("granite"))
		n.t.Config.Head.DisabledTargets, n.t.Config.Head.Version = []state.TargetID{"g1"}, 2
		w.run(50 * time.Millisecond)
		Expect(w.replies[queued].Refusal.Code).To(Equal("no_target"))
		a := from("granite")
		a.Model = "unknown"
		Expect(w.replies[w.send(n, a)].Refusal.Kind).To(Equal(apierror.KindNotFound))
	})

	// Guards against a key that stays held after its request was refused in the
	// queue.
	It("frees the claim of an order that was refused in the queue", func() {
		begin(state.Switches{}, orderDoc(""))
		n.t.Config.Fresh = false
		a := order("k", "x")
		a.Timeout = 2 * time.Second
		id := w.send(n, a)
		w.run(time.Second)
		Expect(storedPhase(w, "k")).To(Equal(state.ClaimHeld))
		w.run(2 * time.Second)
		Expect(w.replies[id].Refusal.Outcome).To(Equal(apierror.NotRun))
		Expect(storedPhase(w, "k")).To(Equal(state.ClaimNotRun))
		n.t.Config.Fresh = true
		again := w.send(n, order("k", "x"))
		w.run(time.Second)
		Expect(w.replies[again].Refusal).To(BeNil())
		Expect(w.targets["orders/a"].executions["granite:k"]).To(Equal(1))
	})

	// Guards against a caller that waits for a generation whose target takes no
	// work any more.
	It("restarts elsewhere when a resume finds no room at its target", func() {
		begin(state.Switches{}, draftDoc(2, 10, 10))
		for _, t := range w.targets {
			t.fail = func(s state.StartAttempt) *state.AttemptEvent {
				if s.Attempt == 1 {
					g := n.t.Groups.Get(state.GroupID(s.Target))
					g.Healthy = false
					return &state.AttemptEvent{Failure: state.FailureConnectionLost, Outcome: apierror.Unknown, Generation: "gen"}
				}
				return nil
			}
		}
		id := w.send(n, from("granite"))
		w.run(4 * time.Second)
		Expect(n.starts).To(HaveLen(2))
		Expect(n.starts[1].Resume).To(BeNil())
		Expect(w.replies[id].Refusal).To(BeNil())
	})

	// Guards against a queue that keeps requests of callers that have left.
	It("takes a request out of the queue when its caller is gone", func() {
		begin(state.Switches{}, draftDoc(1, 1, 1))
		w.send(n, from("granite"))
		id := w.send(n, from("granite"))
		n.feed(state.CallerDisconnected{Request: id})
		w.run(time.Second)
		Expect(n.starts).To(HaveLen(1))
		Expect(w.replies[id].Refusal.Outcome).To(Equal(apierror.NotRun))
		Expect(n.t.Accounts.Get("granite").Queued).To(BeZero())
	})
})
