package core_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// A fixed seed gives the same verdict on every run. The flag -rapid.seed sets
// another one.
func init() { _ = flag.Set("rapid.seed", "20261204") }

// faultDoc declares two groups and an order service with two replicas.
func faultDoc(lookup string) state.Document {
	doc := draftDoc(2, 4, 16)
	doc.Services = []state.ServiceSpec{{
		Name: "orders", LookupPath: lookup, ColdLimit: 6, WarmLimit: 12,
		Replicas: []state.ServiceReplica{
			{Name: "a", Address: "addr-a", DataCentre: "north"}, {Name: "b", Address: "addr-b", DataCentre: "coast"},
		},
	}}
	doc.Accounts[1].Concurrency = 3
	return doc
}

// fault is how a target treats attempts for a while.
type fault func(w *world, target *fakeTarget, s state.StartAttempt) *state.AttemptEvent

var faults = []fault{
	func(*world, *fakeTarget, state.StartAttempt) *state.AttemptEvent { return nil },
	func(*world, *fakeTarget, state.StartAttempt) *state.AttemptEvent {
		return &state.AttemptEvent{Failure: state.FailureConnect, Outcome: apierror.NotRun}
	},
	func(*world, *fakeTarget, state.StartAttempt) *state.AttemptEvent {
		return &state.AttemptEvent{Failure: state.FailureTargetRefused, Outcome: apierror.NotRun}
	},
	// The connection breaks at once; the request still arrives later.
	func(w *world, target *fakeTarget, s state.StartAttempt) *state.AttemptEvent {
		w.after(3*time.Second, func() { w.execute(target, s) })
		return &state.AttemptEvent{Failure: state.FailureConnectionLost, Outcome: apierror.Unknown}
	},
	func(w *world, target *fakeTarget, s state.StartAttempt) *state.AttemptEvent {
		w.execute(target, s)
		return &state.AttemptEvent{Failure: state.FailureConnectionLost, Outcome: apierror.Unknown, Generation: "gen", Offset: 5, AnswerStarted: true}
	},
	func(w *world, target *fakeTarget, s state.StartAttempt) *state.AttemptEvent {
		w.execute(target, s)
		return &state.AttemptEvent{Failure: state.FailureTargetError, Outcome: apierror.Unknown}
	},
}

// TestFaultSchedules guards against a key that runs twice, a false "not run", a
// request without an answer, counts that drift and a cold target over its limit
// under random schedules of faults.
func TestFaultSchedules(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(3, state.Switches{}, faultDoc(rapid.SampledFrom([]string{"", "/orders/{key}"}).Draw(rt, "lookup")))
		w.run(2 * time.Second)
		sent := map[state.RequestID]state.RequestArrived{}
		at := map[state.RequestID]time.Duration{}
		dead := map[state.RequestID]bool{}
		alive := func() []*fakeNode {
			var nodes []*fakeNode
			for _, n := range w.nodes {
				if !n.dead {
					nodes = append(nodes, n)
				}
			}
			return nodes
		}
		for range rapid.IntRange(5, 40).Draw(rt, "steps") {
			n := rapid.SampledFrom(alive()).Draw(rt, "node")
			switch rapid.IntRange(0, 10).Draw(rt, "action") {
			case 0, 1, 2:
				a := order(fmt.Sprintf("k%d", rapid.IntRange(0, 3).Draw(rt, "key")), rapid.SampledFrom([]string{"x", "x", "y"}).Draw(rt, "body"))
				a.Timeout = time.Duration(rapid.IntRange(1, 40).Draw(rt, "timeout")) * time.Second
				id := w.send(n, a)
				sent[id], at[id] = a, w.now
			case 3, 4:
				a := draft()
				a.Account = rapid.SampledFrom([]state.AccountID{"granite", "pilbara"}).Draw(rt, "account")
				a.Timeout = time.Duration(rapid.IntRange(1, 40).Draw(rt, "timeout")) * time.Second
				for range rapid.IntRange(1, 12).Draw(rt, "burst") {
					id := w.send(n, a)
					sent[id], at[id] = a, w.now
				}
			case 5:
				id := rapid.SampledFrom([]state.TargetID{"g1", "g2", "orders/a", "orders/b"}).Draw(rt, "target")
				f := faults[rapid.IntRange(0, len(faults)-1).Draw(rt, "fault")]
				target := w.targets[id]
				target.serve = time.Duration(rapid.IntRange(1, 4000).Draw(rt, "serve")) * time.Millisecond
				target.fail = func(s state.StartAttempt) *state.AttemptEvent { return f(w, target, s) }
			case 6:
				w.storeDown = !w.storeDown
			case 7:
				w.loseReplies = rapid.IntRange(1, 3).Draw(rt, "lost")
			case 8:
				n.t.Config.Fresh = !n.t.Config.Fresh
			case 9:
				w.setPartitioned(!w.partitioned)
			case 10:
				if len(alive()) > 1 && rapid.IntRange(0, 3).Draw(rt, "kill") == 0 {
					w.kill(n)
					for id := range sent {
						if n.t.Requests.Get(id) != nil {
							dead[id] = true
						}
					}
				}
			}
			w.run(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "pause")) * time.Millisecond)
		}
		w.storeDown = false
		w.setPartitioned(false)
		for _, n := range w.nodes {
			n.t.Config.Fresh = true
		}
		w.run(3 * time.Minute)

		for key, n := range w.executed {
			if n > 1 {
				rt.Fatalf("key %s was executed %d times", key, n)
			}
		}
		for id, a := range sent {
			reply, ok := w.replies[id]
			if !ok && !dead[id] {
				rt.Fatalf("%s has no reply", id)
			}
			if ok && w.repliedAt[id] > at[id]+a.Timeout+state.TickPeriod {
				rt.Fatalf("%s was answered after its deadline", id)
			}
			if reply.Refusal != nil && reply.Refusal.Outcome == apierror.NotRun && w.ran[id] {
				rt.Fatalf("%s was executed and refused as not run: %s", id, reply.Refusal)
			}
		}
		for _, target := range w.targets {
			if target.peak > 16 || (target.completed < 16 && target.peak > 6) {
				rt.Fatalf("%s had %d in flight after %d", target.id, target.peak, target.completed)
			}
		}
		for _, n := range alive() {
			w.checkIdle(rt, n)
		}
	})
}

// setPartitioned cuts all links between nodes or restores them.
func (w *world) setPartitioned(cut bool) {
	w.partitioned = cut
	for _, n := range w.nodes {
		for _, other := range w.nodes {
			if peer := n.t.Peers.Get(other.t.Self.ID); peer != nil {
				peer.Linked = !cut && !other.dead
			}
		}
	}
}

// checkIdle fails when counts of a node without requests are not zero, or when
// a claim of its own is not stored.
func (w *world) checkIdle(rt *rapid.T, n *fakeNode) {
	for id, row := range n.t.Targets.All() {
		if row.InFlight != 0 {
			rt.Fatalf("%s counts %d in flight at %s", n.t.Self.ID, row.InFlight, id)
		}
	}
	for id, row := range n.t.Accounts.All() {
		if row.InFlight != 0 || row.Queued != 0 {
			rt.Fatalf("%s counts %d in flight and %d queued of %s", n.t.Self.ID, row.InFlight, row.Queued, id)
		}
	}
	for key, claim := range n.t.Claims.All() {
		if !claim.Stored {
			rt.Fatalf("%s has not stored %s", n.t.Self.ID, key)
		}
	}
}
