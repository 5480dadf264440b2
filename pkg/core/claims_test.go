package core_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

func orderDoc(lookup string) state.Document {
	return state.Document{
		Accounts: []state.AccountSpec{{Name: "granite", Weight: 1}},
		Services: []state.ServiceSpec{{
			Name: "orders", LookupPath: lookup, ColdLimit: 100, WarmLimit: 100,
			Replicas: []state.ServiceReplica{{Name: "a", Address: "addr-a", DataCentre: "north"}},
		}},
	}
}

func order(key, body string) state.RequestArrived {
	return state.RequestArrived{
		Account: "granite", Kind: state.KindService, Service: "orders", Method: "POST", Path: "/orders",
		AtMostOnce: true, IdempotencyKey: key, BodyHash: body, CostTokens: 1,
	}
}

// broken breaks the connection of each attempt at the order service.
func broken(w *world, executed bool) {
	const target = "orders/a"
	w.targets[target].fail = func(s state.StartAttempt) *state.AttemptEvent {
		if executed {
			w.targets[target].executions["granite:k"]++
		}
		return &state.AttemptEvent{Failure: state.FailureConnectionLost, Outcome: apierror.Unknown}
	}
}

func storedPhase(w *world, key string) state.ClaimPhase {
	rows, err := w.store.Read(GinkgoT().Context(), []string{state.KeyClaim("granite", key)})
	Expect(err).NotTo(HaveOccurred())
	if len(rows) == 0 {
		return state.ClaimNone
	}
	var row state.ClaimRow
	Expect(state.Decode(rows[0].Value, &row)).To(Succeed())
	return row.Phase
}

var _ = Describe("claims", func() {
	var w *world
	executions := func() int { return w.targets["orders/a"].executions["granite:k"] }
	outcome := func(id state.RequestID) apierror.Outcome {
		reply, ok := w.replies[id]
		if !ok {
			return "no reply"
		}
		if reply.Refusal != nil {
			return reply.Refusal.Outcome
		}
		return apierror.Done
	}
	BeforeEach(func() {
		w = newWorld(2, state.Switches{}, orderDoc("/orders/{key}"))
		w.run(2 * time.Second)
	})

	// Guards against a send before the claim row exists.
	It("writes the row before it sends", func() {
		w.send(w.nodes[0], order("k", "x"))
		Expect(w.nodes[0].starts).To(BeEmpty())
		w.run(3 * time.Millisecond)
		Expect(storedPhase(w, "k")).To(Equal(state.ClaimHeld))
		Expect(w.nodes[0].starts).To(HaveLen(1))
		Expect(w.nodes[0].starts[0].NewConnection).To(BeTrue())
		w.run(time.Second)
		Expect(storedPhase(w, "k")).To(Equal(state.ClaimDone))
	})

	// Guards against a second execution, or a refusal of a request that runs,
	// when the answer of the insert is lost.
	It("settles a lost answer of the insert by the operation id", func() {
		w.loseReplies = 2
		id := w.send(w.nodes[0], order("k", "x"))
		w.run(2 * time.Second)
		Expect(outcome(id)).To(Equal(apierror.Done))
		Expect(executions()).To(Equal(1))
	})

	// Guards against a "not run" refusal whose row stays held for ever.
	It("marks the row when it gave up before the outcome was known", func() {
		w.loseReplies = 1
		id := w.send(w.nodes[0], order("k", "x"))
		w.run(2 * time.Millisecond)
		w.storeDown = true
		w.run(time.Second)
		Expect(outcome(id)).To(Equal(apierror.NotRun))
		Expect(storedPhase(w, "k")).To(Equal(state.ClaimHeld))
		w.storeDown = false
		w.run(time.Second)
		Expect(storedPhase(w, "k")).To(Equal(state.ClaimNotRun))
		again := w.send(w.nodes[1], order("k", "x"))
		w.run(time.Second)
		Expect(outcome(again)).To(Equal(apierror.Done))
		Expect(executions()).To(Equal(1))
	})

	// Guards against orders that wait or are sent without a claim.
	It("refuses at once while the table service is down", func() {
		w.storeDown = true
		id := w.send(w.nodes[0], order("k", "x"))
		w.run(10 * time.Millisecond)
		Expect(w.replies[id].Refusal.Kind).To(Equal(apierror.KindStoreDown))
		Expect(outcome(id)).To(Equal(apierror.NotRun))
		w.run(time.Minute)
		Expect(executions()).To(Equal(0))
	})

	// Guards against orders that wait one after another for a table service that
	// answers nothing, and against one that stays refused after it is back.
	It("refuses at once while the table service is silent", func() {
		w.storeSilence = 2 * time.Second
		for _, key := range []string{"a", "b", "c"} {
			w.send(w.nodes[0], order(key, "x"))
		}
		w.run(2100 * time.Millisecond)
		w.send(w.nodes[0], order("probe", "x"))
		id := w.send(w.nodes[0], order("k", "x"))
		Expect(w.replies[id].Refusal.Kind).To(Equal(apierror.KindStoreDown))
		Expect(outcome(id)).To(Equal(apierror.NotRun))
		w.storeSilence = 0
		w.run(time.Minute)
		again := w.send(w.nodes[0], order("k", "x"))
		w.run(time.Second)
		Expect(outcome(again)).To(Equal(apierror.Done))
		Expect(executions()).To(Equal(1))
		Expect(storedPhase(w, "a")).To(Equal(state.ClaimDone), "its insert was repeated in time")
	})

	// Guards against a repeat that executes again after its holder died.
	It("never sends again after the holder died", func() {
		w.targets["orders/a"].serve = time.Hour
		w.send(w.nodes[0], order("k", "x"))
		w.run(20 * time.Millisecond)
		w.targets["orders/a"].executions["granite:k"] = 0 // still on its way
		w.kill(w.nodes[0])
		id := w.send(w.nodes[1], order("k", "x"))
		w.run(5 * time.Second)
		Expect(w.replies).NotTo(HaveKey(id), "an absent order proves nothing")
		w.targets["orders/a"].executions["granite:k"] = 1
		w.run(time.Second)
		Expect(outcome(id)).To(Equal(apierror.Done))
		Expect(storedPhase(w, "k")).To(Equal(state.ClaimDone))
		Expect(w.nodes[1].starts).To(BeEmpty())
	})

	// Guards against a repeat that waits for the next process of a holder that
	// died: that one knows nothing of the claim.
	It("does not ask the next process of a holder that died", func() {
		w.targets["orders/a"].serve = time.Hour
		w.send(w.nodes[0], order("k", "x"))
		w.run(20 * time.Millisecond)
		w.kill(w.nodes[0])
		holder := w.nodes[1].t.Peers.Get(w.nodes[0].t.Self.ID)
		holder.Linked, holder.Incarnation = true, holder.Incarnation+1
		id := w.send(w.nodes[1], order("k", "x"))
		w.run(5 * time.Second)
		Expect(outcome(id)).To(Equal(apierror.Done))
		Expect(w.nodes[1].starts).To(BeEmpty())
	})

	// Guards against a false "not run" when the lookup finds nothing.
	It("reports unknown when no lookup settles a dead holder's claim", func() {
		w = newWorld(2, state.Switches{}, orderDoc(""))
		w.run(2 * time.Second)
		w.send(w.nodes[0], order("k", "x"))
		w.run(10 * time.Millisecond)
		w.kill(w.nodes[0])
		id := w.send(w.nodes[1], order("k", "x"))
		w.run(3 * time.Second)
		Expect(outcome(id)).To(Equal(apierror.Unknown))
		Expect(w.nodes[1].starts).To(BeEmpty())
	})

	// Guards against two executions or two answers of one key.
	It("gives repeats here and elsewhere the answer of the first", func() {
		first := w.send(w.nodes[0], order("k", "x"))
		here := w.send(w.nodes[0], order("k", "x"))
		w.run(10 * time.Millisecond)
		elsewhere := w.send(w.nodes[1], order("k", "x"))
		w.run(time.Second)
		late := w.send(w.nodes[1], order("k", "x"))
		w.run(time.Second)
		for _, id := range []state.RequestID{here, elsewhere, late} {
			Expect(w.replies[id].Replayed).To(BeTrue())
			Expect(w.replies[id].Answer).To(Equal(w.replies[first].Answer))
		}
		Expect(executions()).To(Equal(1))
	})

	// Guards against a lost answer when it is too large for a row.
	It("stores a large answer in the object store", func() {
		w.targets["orders/a"].fail = func(state.StartAttempt) *state.AttemptEvent {
			return &state.AttemptEvent{Outcome: apierror.Done, Answer: &state.Answer{Status: 200, Body: make([]byte, 300<<10)}}
		}
		w.send(w.nodes[0], order("k", "x"))
		w.run(time.Second)
		Expect(w.nodes[0].t.Claims.Get(state.KeyClaim("granite", "k")).Row.Answer).To(BeNil())
		here := w.send(w.nodes[0], order("k", "x"))
		w.run(time.Second)
		w.kill(w.nodes[0])
		elsewhere := w.send(w.nodes[1], order("k", "x"))
		w.run(time.Second)
		for _, id := range []state.RequestID{here, elsewhere} {
			Expect(w.replies[id].Answer.Body).To(HaveLen(300 << 10))
			Expect(w.replies[id].Replayed).To(BeTrue())
		}
		Expect(w.nodes[1].starts).To(BeEmpty())
	})

	// Guards against a caller that takes another order's answer for its own.
	It("refuses another body under the same key", func() {
		w.send(w.nodes[0], order("k", "x"))
		here := w.send(w.nodes[0], order("k", "y"))
		w.run(10 * time.Millisecond)
		elsewhere := w.send(w.nodes[1], order("k", "y"))
		w.run(time.Second)
		for _, id := range []state.RequestID{here, elsewhere} {
			Expect(w.replies[id].Refusal).NotTo(BeNil())
			Expect(w.replies[id].Refusal.Kind).To(Equal(apierror.KindKeyReused))
		}
		Expect(executions()).To(Equal(1))
	})

	// Guards against one order that is taken for another of the same account.
	It("keeps keys apart", func() {
		w.send(w.nodes[0], order("k", "x"))
		other := w.send(w.nodes[1], order("k2", "y"))
		w.run(time.Second)
		Expect(outcome(other)).To(Equal(apierror.Done))
		Expect(storedPhase(w, "k2")).To(Equal(state.ClaimDone))
		Expect(state.KeyClaim("a/b", "c")).NotTo(Equal(state.KeyClaim("a", "b/c")))
	})

	// Guards against a key that stays blocked although no byte left.
	It("frees the key when no byte left", func() {
		w.targets["orders/a"].fail = func(state.StartAttempt) *state.AttemptEvent {
			return &state.AttemptEvent{Failure: state.FailureConnect, Outcome: apierror.NotRun}
		}
		id := w.send(w.nodes[0], order("k", "x"))
		w.run(time.Second)
		Expect(outcome(id)).To(Equal(apierror.NotRun))
		Expect(storedPhase(w, "k")).To(Equal(state.ClaimNotRun))
		w.targets["orders/a"].fail = nil
		again := w.send(w.nodes[1], order("k", "x"))
		w.run(5 * time.Second)
		Expect(outcome(again)).To(Equal(apierror.Done))
		Expect(executions()).To(Equal(1))
	})

	// Guards against a repeat of a request that broke after it was executed.
	It("settles a broken connection by the lookup", func() {
		broken(w, true)
		id := w.send(w.nodes[0], order("k", "x"))
		w.run(time.Second)
		Expect(outcome(id)).To(Equal(apierror.Done))
		Expect(executions()).To(Equal(1))
	})

	// Guards against taking the order of another account under the same key for
	// the one whose connection broke.
	It("looks up the key of its own account only", func() {
		other := order("k", "x")
		other.Account = "pilbara"
		w.send(w.nodes[1], other)
		w.run(time.Second)
		broken(w, false)
		id := w.send(w.nodes[0], order("k", "x"))
		w.run(30 * time.Second)
		Expect(outcome(id)).To(Equal(apierror.Unknown))
	})

	Context("with a mechanism switched off", func() {
		// repeatBoth sends a key twice through both nodes.
		repeatBoth := func(s state.Switches, breaks bool) int {
			w = newWorld(2, s, orderDoc("/orders/{key}"))
			w.run(2 * time.Second)
			if breaks {
				broken(w, true)
			}
			for _, n := range w.nodes {
				w.send(n, order("k", "x"))
				w.run(time.Second)
			}
			return executions()
		}
		It("executes twice without claims", func() {
			Expect(repeatBoth(state.Switches{}, false)).To(Equal(1))
			Expect(repeatBoth(state.Switches{IgnoreClaims: true}, false)).To(BeNumerically(">", 1))
		})
		It("executes twice when an unknown outcome counts as not run", func() {
			Expect(repeatBoth(state.Switches{}, true)).To(Equal(1))
			Expect(repeatBoth(state.Switches{IgnoreOutcome: true}, true)).To(BeNumerically(">", 1))
		})
	})
})
