package core_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

func orderDocument(lookup string) state.Document {
	return state.Document{
		Accounts: []state.AccountSpec{{Name: "granite", Weight: 1}},
		Services: []state.ServiceSpec{{
			Name: "orders", LookupPath: lookup, ColdLimit: 100, WarmLimit: 100,
			Replicas: []state.ServiceReplica{{Name: "a", Address: "addr-a", DataCentre: "north"}},
		}},
	}
}

func orderRequest(key, body string) state.RequestArrived {
	return state.RequestArrived{
		Account: "granite", Kind: state.KindService, Service: "orders", Method: "POST", Path: "/orders",
		AtMostOnce: true, IdempotencyKey: key, BodyHash: body, CostTokens: 1,
	}
}

// breakConnections makes each attempt at the order service fail with a lost
// connection, after the order was executed if executed is set.
func breakConnections(sim *simulation, executed bool) {
	const target = "orders/a"
	sim.targets[target].injectFault = func(start state.StartAttempt) *state.AttemptEvent {
		if executed {
			sim.targets[target].executions["granite:k"]++
		}
		return &state.AttemptEvent{Failure: state.FailureConnectionLost, Outcome: apierror.Unknown}
	}
}

func storedClaimPhase(sim *simulation, key string) state.ClaimPhase {
	rows, err := sim.store.Read(GinkgoT().Context(), []string{state.KeyClaim("granite", key)})
	Expect(err).NotTo(HaveOccurred())
	if len(rows) == 0 {
		return state.ClaimNone
	}
	var row state.ClaimRow
	Expect(state.Decode(rows[0].Value, &row)).To(Succeed())
	return row.Phase
}

var _ = Describe("claims", func() {
	var sim *simulation
	executions := func() int { return sim.targets["orders/a"].executions["granite:k"] }
	outcome := func(id state.RequestID) apierror.Outcome {
		reply, ok := sim.replies[id]
		if !ok {
			return "no reply"
		}
		if reply.Refusal != nil {
			return reply.Refusal.Outcome
		}
		return apierror.Done
	}
	BeforeEach(func() {
		sim = newSimulation(2, state.Switches{}, orderDocument("/orders/{key}"))
		sim.run(2 * time.Second)
	})

	// Guards against a request that is sent before its claim row exists.
	It("writes the claim row before it sends the request", func() {
		sim.send(sim.nodes[0], orderRequest("k", "x"))
		Expect(sim.nodes[0].starts).To(BeEmpty())
		sim.run(3 * time.Millisecond)
		Expect(storedClaimPhase(sim, "k")).To(Equal(state.ClaimHeld))
		Expect(sim.nodes[0].starts).To(HaveLen(1))
		Expect(sim.nodes[0].starts[0].NewConnection).To(BeTrue())
		sim.run(time.Second)
		Expect(storedClaimPhase(sim, "k")).To(Equal(state.ClaimDone))
	})

	// Guards against a second execution, or the refusal of a request that runs,
	// when the reply to the insert is lost.
	It("resolves a lost reply to the insert by the operation id", func() {
		sim.repliesToLose = 2
		id := sim.send(sim.nodes[0], orderRequest("k", "x"))
		sim.run(2 * time.Second)
		Expect(outcome(id)).To(Equal(apierror.Done))
		Expect(executions()).To(Equal(1))
	})

	// Guards against a "not run" refusal whose claim row stays held for ever.
	It("marks the row as not run after a refusal before the outcome of the insert was known", func() {
		sim.repliesToLose = 1
		id := sim.send(sim.nodes[0], orderRequest("k", "x"))
		sim.run(2 * time.Millisecond)
		sim.storeDown = true
		sim.run(time.Second)
		Expect(outcome(id)).To(Equal(apierror.NotRun))
		Expect(storedClaimPhase(sim, "k")).To(Equal(state.ClaimHeld))
		sim.storeDown = false
		sim.run(time.Second)
		Expect(storedClaimPhase(sim, "k")).To(Equal(state.ClaimNotRun))
		repeat := sim.send(sim.nodes[1], orderRequest("k", "x"))
		sim.run(time.Second)
		Expect(outcome(repeat)).To(Equal(apierror.Done))
		Expect(executions()).To(Equal(1))
	})

	// Guards against orders that wait, or are sent, without a claim.
	It("refuses at once while the table service is down", func() {
		sim.storeDown = true
		id := sim.send(sim.nodes[0], orderRequest("k", "x"))
		sim.run(10 * time.Millisecond)
		Expect(sim.replies[id].Refusal.Kind).To(Equal(apierror.KindStoreDown))
		Expect(outcome(id)).To(Equal(apierror.NotRun))
		sim.run(time.Minute)
		Expect(executions()).To(Equal(0))
	})

	// Guards against orders that wait one after another for an unresponsive table
	// service, and against orders that are still refused after it has recovered.
	It("refuses at once while the table service does not respond", func() {
		sim.storeTimeout = 2 * time.Second
		for _, key := range []string{"a", "b", "c"} {
			sim.send(sim.nodes[0], orderRequest(key, "x"))
		}
		sim.run(2100 * time.Millisecond)
		sim.send(sim.nodes[0], orderRequest("probe", "x"))
		id := sim.send(sim.nodes[0], orderRequest("k", "x"))
		Expect(sim.replies[id].Refusal.Kind).To(Equal(apierror.KindStoreDown))
		Expect(outcome(id)).To(Equal(apierror.NotRun))
		sim.storeTimeout = 0
		sim.run(time.Minute)
		repeat := sim.send(sim.nodes[0], orderRequest("k", "x"))
		sim.run(time.Second)
		Expect(outcome(repeat)).To(Equal(apierror.Done))
		Expect(executions()).To(Equal(1))
		Expect(storedClaimPhase(sim, "a")).To(Equal(state.ClaimDone), "the insert of its claim was retried")
	})

	// Guards against a repeat that is executed again after the node that holds the
	// claim died.
	It("never sends an order again after the holder of its claim died", func() {
		sim.targets["orders/a"].serviceTime = time.Hour
		sim.send(sim.nodes[0], orderRequest("k", "x"))
		sim.run(20 * time.Millisecond)
		sim.targets["orders/a"].executions["granite:k"] = 0 // not yet arrived at the service
		sim.kill(sim.nodes[0])
		id := sim.send(sim.nodes[1], orderRequest("k", "x"))
		sim.run(5 * time.Second)
		Expect(sim.replies).NotTo(HaveKey(id), "the order may still arrive at the service")
		sim.targets["orders/a"].executions["granite:k"] = 1
		sim.run(time.Second)
		Expect(outcome(id)).To(Equal(apierror.Done))
		Expect(storedClaimPhase(sim, "k")).To(Equal(state.ClaimDone))
		Expect(sim.nodes[1].starts).To(BeEmpty())
	})

	// Guards against a repeat that waits for the restarted process of a claim
	// holder, which has no record of the claim.
	It("does not query the restarted process of a claim holder", func() {
		sim.targets["orders/a"].serviceTime = time.Hour
		sim.send(sim.nodes[0], orderRequest("k", "x"))
		sim.run(20 * time.Millisecond)
		sim.kill(sim.nodes[0])
		holder := sim.nodes[1].tables.Peers.Get(sim.nodes[0].tables.Self.ID)
		holder.Linked, holder.Incarnation = true, holder.Incarnation+1
		id := sim.send(sim.nodes[1], orderRequest("k", "x"))
		sim.run(5 * time.Second)
		Expect(outcome(id)).To(Equal(apierror.Done))
		Expect(sim.nodes[1].starts).To(BeEmpty())
	})

	// Guards against a false "not run" when the outcome cannot be looked up.
	It("reports an unknown outcome when no lookup resolves the claim of a dead holder", func() {
		sim = newSimulation(2, state.Switches{}, orderDocument(""))
		sim.run(2 * time.Second)
		sim.send(sim.nodes[0], orderRequest("k", "x"))
		sim.run(10 * time.Millisecond)
		sim.kill(sim.nodes[0])
		id := sim.send(sim.nodes[1], orderRequest("k", "x"))
		sim.run(3 * time.Second)
		Expect(outcome(id)).To(Equal(apierror.Unknown))
		Expect(sim.nodes[1].starts).To(BeEmpty())
	})

	// Guards against two executions or two answers of one key.
	It("gives repeats on the same and on another node the answer of the first request", func() {
		first := sim.send(sim.nodes[0], orderRequest("k", "x"))
		sameNode := sim.send(sim.nodes[0], orderRequest("k", "x"))
		sim.run(10 * time.Millisecond)
		otherNode := sim.send(sim.nodes[1], orderRequest("k", "x"))
		sim.run(time.Second)
		laterRepeat := sim.send(sim.nodes[1], orderRequest("k", "x"))
		sim.run(time.Second)
		for _, id := range []state.RequestID{sameNode, otherNode, laterRepeat} {
			Expect(sim.replies[id].Replayed).To(BeTrue())
			Expect(sim.replies[id].Answer).To(Equal(sim.replies[first].Answer))
		}
		Expect(executions()).To(Equal(1))
	})

	// Guards against the loss of an answer that is too large for a row.
	It("stores a large answer in the object store", func() {
		sim.targets["orders/a"].injectFault = func(state.StartAttempt) *state.AttemptEvent {
			return &state.AttemptEvent{Outcome: apierror.Done, Answer: &state.Answer{Status: 200, Body: make([]byte, 300<<10)}}
		}
		sim.send(sim.nodes[0], orderRequest("k", "x"))
		sim.run(time.Second)
		Expect(sim.nodes[0].tables.Claims.Get(state.KeyClaim("granite", "k")).Row.Answer).To(BeNil())
		sameNode := sim.send(sim.nodes[0], orderRequest("k", "x"))
		sim.run(time.Second)
		sim.kill(sim.nodes[0])
		otherNode := sim.send(sim.nodes[1], orderRequest("k", "x"))
		sim.run(time.Second)
		for _, id := range []state.RequestID{sameNode, otherNode} {
			Expect(sim.replies[id].Answer.Body).To(HaveLen(300 << 10))
			Expect(sim.replies[id].Replayed).To(BeTrue())
		}
		Expect(sim.nodes[1].starts).To(BeEmpty())
	})

	// Guards against a caller that receives the answer to another order as its own.
	It("refuses another body under the same key", func() {
		sim.send(sim.nodes[0], orderRequest("k", "x"))
		sameNode := sim.send(sim.nodes[0], orderRequest("k", "y"))
		sim.run(10 * time.Millisecond)
		otherNode := sim.send(sim.nodes[1], orderRequest("k", "y"))
		sim.run(time.Second)
		for _, id := range []state.RequestID{sameNode, otherNode} {
			Expect(sim.replies[id].Refusal).NotTo(BeNil())
			Expect(sim.replies[id].Refusal.Kind).To(Equal(apierror.KindKeyReused))
		}
		Expect(executions()).To(Equal(1))
	})

	// Guards against an order that is mistaken for another one of the same account.
	It("keeps the claims of different keys apart", func() {
		sim.send(sim.nodes[0], orderRequest("k", "x"))
		other := sim.send(sim.nodes[1], orderRequest("k2", "y"))
		sim.run(time.Second)
		Expect(outcome(other)).To(Equal(apierror.Done))
		Expect(storedClaimPhase(sim, "k2")).To(Equal(state.ClaimDone))
		Expect(state.KeyClaim("a/b", "c")).NotTo(Equal(state.KeyClaim("a", "b/c")))
	})

	// Guards against a key that stays claimed although no byte was sent.
	It("releases the key when no byte was sent", func() {
		sim.targets["orders/a"].injectFault = func(state.StartAttempt) *state.AttemptEvent {
			return &state.AttemptEvent{Failure: state.FailureConnect, Outcome: apierror.NotRun}
		}
		id := sim.send(sim.nodes[0], orderRequest("k", "x"))
		sim.run(time.Second)
		Expect(outcome(id)).To(Equal(apierror.NotRun))
		Expect(storedClaimPhase(sim, "k")).To(Equal(state.ClaimNotRun))
		sim.targets["orders/a"].injectFault = nil
		repeat := sim.send(sim.nodes[1], orderRequest("k", "x"))
		sim.run(5 * time.Second)
		Expect(outcome(repeat)).To(Equal(apierror.Done))
		Expect(executions()).To(Equal(1))
	})

	// Guards against a second execution of a request whose connection was lost
	// after it was executed.
	It("resolves a lost connection by the lookup", func() {
		breakConnections(sim, true)
		id := sim.send(sim.nodes[0], orderRequest("k", "x"))
		sim.run(time.Second)
		Expect(outcome(id)).To(Equal(apierror.Done))
		Expect(executions()).To(Equal(1))
	})

	// Guards against an order of another account under the same key that is taken
	// for the one whose connection was lost.
	It("looks up the key of its own account only", func() {
		other := orderRequest("k", "x")
		other.Account = "pilbara"
		sim.send(sim.nodes[1], other)
		sim.run(time.Second)
		breakConnections(sim, false)
		id := sim.send(sim.nodes[0], orderRequest("k", "x"))
		sim.run(30 * time.Second)
		Expect(outcome(id)).To(Equal(apierror.Unknown))
	})

	Context("with a mechanism disabled", func() {
		// executionsOfRepeat sends an order with the same key through each of the two
		// nodes and returns the number of executions.
		executionsOfRepeat := func(switches state.Switches, loseConnections bool) int {
			sim = newSimulation(2, switches, orderDocument("/orders/{key}"))
			sim.run(2 * time.Second)
			if loseConnections {
				breakConnections(sim, true)
			}
			for _, n := range sim.nodes {
				sim.send(n, orderRequest("k", "x"))
				sim.run(time.Second)
			}
			return executions()
		}
		It("executes twice without claims", func() {
			Expect(executionsOfRepeat(state.Switches{}, false)).To(Equal(1))
			Expect(executionsOfRepeat(state.Switches{IgnoreClaims: true}, false)).To(BeNumerically(">", 1))
		})
		It("executes twice when an unknown outcome counts as not run", func() {
			Expect(executionsOfRepeat(state.Switches{}, true)).To(Equal(1))
			Expect(executionsOfRepeat(state.Switches{IgnoreOutcome: true}, true)).To(BeNumerically(">", 1))
		})
	})
})
