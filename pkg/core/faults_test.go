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

// A fixed seed gives the same result on every run. The flag -rapid.seed sets
// another one.
func init() { _ = flag.Set("rapid.seed", "20261204") }

// faultDocument declares two groups and an order service with two replicas.
func faultDocument(lookup string) state.Document {
	doc := draftDocument(2, 4, 16)
	doc.Services = []state.ServiceSpec{{
		Name: "orders", LookupPath: lookup, ColdLimit: 6, WarmLimit: 12,
		Replicas: []state.ServiceReplica{
			{Name: "a", Address: "addr-a", DataCentre: "north"}, {Name: "b", Address: "addr-b", DataCentre: "coast"},
		},
	}}
	doc.Accounts[1].Concurrency = 3
	return doc
}

// targetFault determines how a target handles an attempt while the fault lasts.
type targetFault func(sim *simulation, target *fakeTarget, start state.StartAttempt) *state.AttemptEvent

var targetFaults = []targetFault{
	func(*simulation, *fakeTarget, state.StartAttempt) *state.AttemptEvent { return nil },
	func(*simulation, *fakeTarget, state.StartAttempt) *state.AttemptEvent {
		return &state.AttemptEvent{Failure: state.FailureConnect, Outcome: apierror.NotRun}
	},
	func(*simulation, *fakeTarget, state.StartAttempt) *state.AttemptEvent {
		return &state.AttemptEvent{Failure: state.FailureTargetRefused, Outcome: apierror.NotRun}
	},
	// The connection is lost at once, but the target executes the request 3 s later.
	func(sim *simulation, target *fakeTarget, start state.StartAttempt) *state.AttemptEvent {
		sim.scheduleAfter(3*time.Second, func() { sim.recordExecution(target, start) })
		return &state.AttemptEvent{Failure: state.FailureConnectionLost, Outcome: apierror.Unknown}
	},
	func(sim *simulation, target *fakeTarget, start state.StartAttempt) *state.AttemptEvent {
		sim.recordExecution(target, start)
		return &state.AttemptEvent{Failure: state.FailureConnectionLost, Outcome: apierror.Unknown, Generation: "gen", Offset: 5, AnswerStarted: true}
	},
	func(sim *simulation, target *fakeTarget, start state.StartAttempt) *state.AttemptEvent {
		sim.recordExecution(target, start)
		return &state.AttemptEvent{Failure: state.FailureTargetError, Outcome: apierror.Unknown}
	},
}

// TestRequestsUnderRandomFaults guards against a key that is executed twice, a
// false "not run", a request without an answer before its deadline, counts that
// drift and a cold target over its limit, under random schedules of faults.
func TestRequestsUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sim := newSimulation(3, state.Switches{}, faultDocument(rapid.SampledFrom([]string{"", "/orders/{key}"}).Draw(rt, "lookup")))
		sim.run(2 * time.Second)
		requests := map[state.RequestID]state.RequestArrived{}
		sentAt := map[state.RequestID]time.Duration{}
		lostWithNode := map[state.RequestID]bool{}
		liveNodes := func() []*fakeNode {
			var nodes []*fakeNode
			for _, n := range sim.nodes {
				if !n.dead {
					nodes = append(nodes, n)
				}
			}
			return nodes
		}
		for range rapid.IntRange(5, 40).Draw(rt, "steps") {
			n := rapid.SampledFrom(liveNodes()).Draw(rt, "node")
			switch rapid.IntRange(0, 10).Draw(rt, "action") {
			case 0, 1, 2:
				request := orderRequest(fmt.Sprintf("k%d", rapid.IntRange(0, 3).Draw(rt, "key")), rapid.SampledFrom([]string{"x", "x", "y"}).Draw(rt, "body"))
				request.Timeout = time.Duration(rapid.IntRange(1, 40).Draw(rt, "timeout")) * time.Second
				id := sim.send(n, request)
				requests[id], sentAt[id] = request, sim.now
			case 3, 4:
				request := draftRequest()
				request.Account = rapid.SampledFrom([]state.AccountID{"granite", "pilbara"}).Draw(rt, "account")
				request.Timeout = time.Duration(rapid.IntRange(1, 40).Draw(rt, "timeout")) * time.Second
				for range rapid.IntRange(1, 12).Draw(rt, "burst") {
					id := sim.send(n, request)
					requests[id], sentAt[id] = request, sim.now
				}
			case 5:
				id := rapid.SampledFrom([]state.TargetID{"g1", "g2", "orders/a", "orders/b"}).Draw(rt, "target")
				fault := targetFaults[rapid.IntRange(0, len(targetFaults)-1).Draw(rt, "fault")]
				target := sim.targets[id]
				target.serviceTime = time.Duration(rapid.IntRange(1, 4000).Draw(rt, "serve")) * time.Millisecond
				target.injectFault = func(start state.StartAttempt) *state.AttemptEvent { return fault(sim, target, start) }
			case 6:
				sim.storeDown = !sim.storeDown
			case 7:
				sim.repliesToLose = rapid.IntRange(1, 3).Draw(rt, "lost")
			case 8:
				n.tables.Config.Fresh = !n.tables.Config.Fresh
			case 9:
				sim.setPartitioned(!sim.partitioned)
			case 10:
				if len(liveNodes()) > 1 && rapid.IntRange(0, 3).Draw(rt, "kill") == 0 {
					sim.kill(n)
					for id := range requests {
						if n.tables.Requests.Get(id) != nil {
							lostWithNode[id] = true
						}
					}
				}
			}
			sim.run(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "pause")) * time.Millisecond)
		}
		sim.storeDown = false
		sim.setPartitioned(false)
		for _, n := range sim.nodes {
			n.tables.Config.Fresh = true
		}
		sim.run(3 * time.Minute)

		for key, count := range sim.executionCounts {
			if count > 1 {
				rt.Fatalf("key %s was executed %d times", key, count)
			}
		}
		for id, request := range requests {
			reply, ok := sim.replies[id]
			if !ok && !lostWithNode[id] {
				rt.Fatalf("%s has no reply", id)
			}
			if ok && sim.repliedAt[id] > sentAt[id]+request.Timeout+state.TickPeriod {
				rt.Fatalf("%s was answered after its deadline", id)
			}
			if reply.Refusal != nil && reply.Refusal.Outcome == apierror.NotRun && sim.executedRequests[id] {
				rt.Fatalf("%s was executed and refused as not run: %s", id, reply.Refusal)
			}
		}
		for _, target := range sim.targets {
			if target.peakRunning > 16 || (target.completed < 16 && target.peakRunning > 6) {
				rt.Fatalf("%s had %d in flight after %d", target.id, target.peakRunning, target.completed)
			}
		}
		for _, n := range liveNodes() {
			sim.checkIdle(rt, n)
		}
	})
}

// setPartitioned cuts all links between nodes or restores them.
func (sim *simulation) setPartitioned(cut bool) {
	sim.partitioned = cut
	for _, n := range sim.nodes {
		for _, other := range sim.nodes {
			if peer := n.tables.Peers.Get(other.tables.Self.ID); peer != nil {
				peer.Linked = !cut && !other.dead
			}
		}
	}
}

// checkIdle fails if a node without requests has counts other than zero or a
// claim that is not stored.
func (sim *simulation) checkIdle(rt *rapid.T, n *fakeNode) {
	for id, row := range n.tables.Targets.All() {
		if row.InFlight != 0 {
			rt.Fatalf("%s counts %d in flight at %s", n.tables.Self.ID, row.InFlight, id)
		}
	}
	for id, row := range n.tables.Accounts.All() {
		if row.InFlight != 0 || row.Queued != 0 {
			rt.Fatalf("%s counts %d in flight and %d queued of %s", n.tables.Self.ID, row.InFlight, row.Queued, id)
		}
	}
	for key, claim := range n.tables.Claims.All() {
		if !claim.Stored {
			rt.Fatalf("%s has not stored %s", n.tables.Self.ID, key)
		}
	}
}
