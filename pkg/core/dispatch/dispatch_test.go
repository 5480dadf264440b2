package dispatch

import (
	"crypto/sha256"
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// TestRouteWithLongestPathPrefixWins guards against requests that go to the wrong
// service because a route with a shorter path prefix also matches.
func TestRouteWithLongestPathPrefixWins(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t, 1)
	id := r.sendRequest("/a/b/c", 0)
	g.Expect(string(r.lastAttempt(id).Target)).To(gomega.HavePrefix("d"))
}

// TestUnknownRouteAndUnknownKeyAreRefused guards against requests that run without
// a route or without a client account.
func TestUnknownRouteAndUnknownKeyAreRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t, 1)
	g.Expect(r.replyTo(r.sendRequest("/none/", 0)).Refusal.Kind).To(gomega.Equal(apierror.KindNotFound))
	r.tables.Managed.PlatformConfig.Accounts[0].KeyHashes[0][0]++
	r.tables.Managed.PlatformConfig.Version++
	r.tables.Managed.TargetInputsVersion++
	g.Expect(r.replyTo(r.sendRequest("/a/", 0)).Refusal.Kind).To(gomega.Equal(apierror.KindAuth))
}

// TestMissingConfigurationIsRefusedAsUnavailable guards against a 404 from a node
// that has no configuration yet. The caller would take it as final.
func TestMissingConfigurationIsRefusedAsUnavailable(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t, 1)
	r.tables.Managed.PlatformConfig = nil
	refusal := r.replyTo(r.sendRequest("/none/", 0)).Refusal
	g.Expect(refusal.Kind).To(gomega.Equal(apierror.KindUnavailable))
	g.Expect(refusal.Outcome).To(gomega.Equal(apierror.NotRun))
}

// TestPlacementByPredictedFirstEvent guards against placement by the number of
// requests alone. A group that prefills a long prompt must not get a request that
// another group serves sooner, even if both have one request.
func TestPlacementByPredictedFirstEvent(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t, 2)
	groupWithLongPrompt := r.lastAttempt(r.sendRequest("/a/", 6000)).Target
	for range 3 {
		g.Expect(r.lastAttempt(r.sendRequest("/a/", 100)).Target).NotTo(gomega.Equal(groupWithLongPrompt))
	}
}

// TestFullGroupGetsNoMoreRequests guards against more requests at a group than it
// has slots. Further requests wait at the node, from where they can go to any
// group.
func TestFullGroupGetsNoMoreRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t, 1)
	for range 26 {
		r.reportStage(r.sendRequest("/a/", 10), state.AttemptFirstByte)
	}
	waiting := r.sendRequest("/a/", 10)
	g.Expect(r.lastAttempt(waiting)).To(gomega.BeNil())
	r.endAttempt(r.starts[0].Request, state.FailureNone, apierror.Done)
	g.Expect(r.lastAttempt(waiting)).NotTo(gomega.BeNil())
}

// TestPeerLoadsCountAgainstSlots guards against six nodes that each fill all slots
// of a group, because they ignore the loads that their peers report.
func TestPeerLoadsCountAgainstSlots(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t, 1)
	r.tables.Managed.PeerLoads["n2"] = []state.TargetLoad{{Target: "g0", Running: 26}}
	r.step(state.PeerMessage{From: "n2", Message: state.Message{PeerStatus: &state.PeerStatus{}}})
	g.Expect(r.lastAttempt(r.sendRequest("/a/", 10))).To(gomega.BeNil())
}

// TestBurstIsRefusedAtOnce guards against a queue that grows without bound in a
// burst on full groups. Requests that would miss their objective are refused at
// once as not run, with a Retry-After of at most a third of the caller's timeout.
func TestBurstIsRefusedAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t, 1)
	for range 26 {
		r.reportStage(r.sendRequest("/a/", 10), state.AttemptFirstByte)
	}
	for i := range 10 {
		r.advance(100 * time.Millisecond)
		r.endAttempt(r.starts[i].Request, state.FailureNone, apierror.Done)
		r.reportStage(r.sendRequest("/a/", 10), state.AttemptFirstByte)
	}
	var refused []*state.Reply
	for range 30 {
		if reply := r.replyTo(r.sendRequest("/a/", 10)); reply != nil {
			refused = append(refused, reply)
		}
	}
	g.Expect(len(refused)).To(gomega.BeNumerically(">", 20))
	for _, reply := range refused {
		g.Expect(reply.Refusal.Outcome).To(gomega.Equal(apierror.NotRun))
		g.Expect(reply.Refusal.RetryAfter).To(gomega.And(gomega.BeNumerically(">", 0), gomega.BeNumerically("<=", 8*time.Second/3)))
	}
}

// TestRequestWithoutTargetIsRefusedAtOnce guards against a request that waits until
// its deadline after all groups are lost.
func TestRequestWithoutTargetIsRefusedAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t, 0)
	refusal := r.replyTo(r.sendRequest("/a/", 10)).Refusal
	g.Expect(refusal.Code).To(gomega.Equal("no_target"))
	g.Expect(refusal.Outcome).To(gomega.Equal(apierror.NotRun))
}

// TestQueueOrder guards against late requests that delay those that can still meet
// their objective. The latter come first, by priority and then by the end of
// their objective.
func TestQueueOrder(t *testing.T) {
	g := gomega.NewWithT(t)
	newRequest := func(objective time.Duration, priority int) *activeRequest {
		return &activeRequest{objectiveEnd: objective, priority: priority}
	}
	late, nearObjective, farObjective, urgent := newRequest(1, 0), newRequest(20, 1), newRequest(30, 1), newRequest(40, 0)
	order := sortByUrgency(10, []*activeRequest{late, farObjective, nearObjective, urgent})
	g.Expect(order).To(gomega.Equal([]*activeRequest{urgent, nearObjective, farObjective, late}))
}

// TestAccountPriorityOverridesRoutePriority guards against requests of an urgent
// client account that wait behind others. The priority of the account takes
// precedence over that of the route.
func TestAccountPriorityOverridesRoutePriority(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t, 1)
	withoutAccountPriority := r.system.activeRequests[r.sendRequest("/a/", 10)]
	g.Expect(withoutAccountPriority.priority).To(gomega.Equal(1))
	r.tables.Managed.PlatformConfig = platformConfig(2)
	r.tables.Managed.PlatformConfig.Accounts[0].Priority = 0
	r.tables.Managed.TargetInputsVersion++
	g.Expect(r.system.activeRequests[r.sendRequest("/a/", 10)].priority).To(gomega.Equal(0))
}

// TestStreamsFailOverFromStalledTarget guards against streams that hang after the
// death of a group member, when the leader sends nothing more. Running streams
// resume at another group, new requests avoid the target, and it is reported. The silent
// attempt stays open until the other group delivers.
func TestStreamsFailOverFromStalledTarget(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t, 2)
	id := r.sendRequest("/a/", 10)
	first := r.lastAttempt(id).Target
	r.reportStage(id, state.AttemptFirstByte)
	r.reportStage(id, state.AttemptStalled)
	g.Expect(r.tables.Managed.StalledTargets).To(gomega.HaveKey(state.HostID(first)))
	g.Expect(r.lastAttempt(r.sendRequest("/a/", 10)).Target).NotTo(gomega.Equal(first))
	r.advance(targetStallFailoverDelay + 20*time.Millisecond)
	g.Expect(r.lastAttempt(id).Attempt).To(gomega.Equal(2))
	g.Expect(r.lastAttempt(id).Target).NotTo(gomega.Equal(first))
	g.Expect(r.lastAttempt(id).KeepPrevious).To(gomega.BeTrue())
	g.Expect(r.cancels).To(gomega.BeEmpty())
	r.reportStage(id, state.AttemptFirstByte)
	g.Expect(r.cancels).To(gomega.ConsistOf(state.CancelAttempt{Request: id, Attempt: 1}))
}

// TestOneStalledStreamDoesNotMarkTargetStalled guards against the loss of a working
// group because one connection has stalled while its other streams deliver events.
func TestOneStalledStreamDoesNotMarkTargetStalled(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t, 1)
	stalled, active := r.sendRequest("/a/", 10), r.sendRequest("/a/", 10)
	r.reportStage(stalled, state.AttemptFirstByte)
	r.reportStage(active, state.AttemptFirstByte)
	r.reportStage(stalled, state.AttemptStalled)
	g.Expect(r.tables.Managed.StalledTargets).To(gomega.BeEmpty())
	g.Expect(r.lastAttempt(r.sendRequest("/a/", 10))).NotTo(gomega.BeNil())
}

// TestNonIdempotentRequestIsNotRetried guards against a second execution of a
// non-idempotent request whose attempt may have run, and against a refusal of it
// as not run.
func TestNonIdempotentRequestIsNotRetried(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, failure := range []state.AttemptFailure{state.FailureConnectionLost, state.FailureInactivityTimeout} {
		r := newRig(t, 1)
		id := r.sendRequest("/a/b/", 0)
		r.endAttempt(id, failure, apierror.Unknown)
		g.Expect(r.lastAttempt(id).Attempt).To(gomega.Equal(1))
		g.Expect(r.replyTo(id).Refusal.Outcome).To(gomega.Equal(apierror.Unknown))
	}
}

// TestRefusalOfRunningAttemptHasUnknownOutcome guards against a refusal as not run
// while an attempt is still running. Only a request whose attempts all ended as
// not run is refused as not run.
func TestRefusalOfRunningAttemptHasUnknownOutcome(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t, 1)
	refused := r.sendRequest("/a/b/", 0)
	r.endAttempt(refused, state.FailureTargetRefused, apierror.NotRun)
	g.Expect(r.replyTo(refused).Refusal.Outcome).To(gomega.Equal(apierror.NotRun))
	running := r.sendRequest("/a/b/", 0)
	r.advance(801 * time.Millisecond)
	g.Expect(r.replyTo(running).Refusal.Outcome).To(gomega.Equal(apierror.Unknown))
}

// TestIdempotentRequestIsRetriedOnceAtAnotherTarget guards against a failing replica
// that makes an idempotent request fail, and against unlimited retries. The
// request is sent once more, to another replica.
func TestIdempotentRequestIsRetriedOnceAtAnotherTarget(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t, 1)
	id := r.sendRequest("/l/", 0)
	first := r.lastAttempt(id).Target
	r.endAttempt(id, state.FailureConnectionLost, apierror.Unknown)
	g.Expect(r.lastAttempt(id).Attempt).To(gomega.Equal(2))
	g.Expect(r.lastAttempt(id).Target).NotTo(gomega.Equal(first))
	r.endAttempt(id, state.FailureConnectionLost, apierror.Unknown)
	g.Expect(r.replyTo(id)).NotTo(gomega.BeNil())
}

// TestRetryBudget guards against retries that multiply the traffic when all answers
// are lost. They stay within the share of the requests plus this node's part of
// the base.
func TestRetryBudget(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t, 1)
	for range 6 {
		r.tables.Managed.Nodes.Put(state.NodeID(string(rune('a'+r.tables.Managed.Nodes.Len()))), &state.RegisteredNode{})
	}
	retries := 0
	for range 200 {
		id := r.sendRequest("/l/", 0)
		r.endAttempt(id, state.FailureConnectionLost, apierror.Unknown)
		if r.replyTo(id) == nil {
			retries++
			r.endAttempt(id, state.FailureNone, apierror.Done)
		}
		for _, target := range r.system.targets {
			target.avoidUntil = 0
		}
	}
	// The platform's bound is a fifth of the requests and 130 over all nodes.
	g.Expect(retries).To(gomega.And(gomega.BeNumerically("<=", 200/5+130/6), gomega.BeNumerically(">=", 40)))
}

// TestRetryBudgetOfManyNodes replays 295 nodes that each see a few requests of a service.
// It guards against shares below one retry that become none at every node, and against
// shares that are rounded up to more than the platform allows over all nodes.
func TestRetryBudgetOfManyNodes(t *testing.T) {
	for _, base := range []int{30, 130, 696} {
		g := gomega.NewWithT(t)
		const nodes, requests = 295, 3
		for window := range 5 {
			now, allowed, without := time.Duration(window)*budgetWindow, 0, 0
			for i := range nodes {
				var b retryBudget
				for range requests {
					b.countRequest(now)
				}
				self := &state.Self{ID: state.NodeID(fmt.Sprintf("n%d", i)), RetryRatio: 0.2, RetryBase: base}
				remaining := b.remaining(now, newRetryLimit(self, plainService, nodes, now))
				allowed += remaining
				if remaining == 0 {
					without++
				}
			}
			bound := 0.2*requests*nodes + float64(base)
			g.Expect(float64(allowed)).To(gomega.And(gomega.BeNumerically("<=", bound), gomega.BeNumerically(">=", 0.75*bound)))
			g.Expect(without).To(gomega.BeNumerically("<", nodes/2))
		}
	}
}

// TestColdTargetRateIsDividedAmongNodes guards against a cold target that gets more
// than its rate from all nodes together. Each node has an equal part of the rate.
func TestColdTargetRateIsDividedAmongNodes(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t, 0)
	for range 6 {
		r.tables.Managed.Nodes.Put(state.NodeID(string(rune('a'+r.tables.Managed.Nodes.Len()))), &state.RegisteredNode{})
	}
	row := r.putInstance("g0", engineService, state.Membership{Group: "G", Epoch: 1, Phase: state.MemberOpen})
	row.ColdRemaining = 10 * time.Second
	for range 100 {
		r.sendRequest("/a/", 10)
		r.advance(10 * time.Millisecond)
	}
	// 36 requests per second over six nodes, plus a burst of a quarter second.
	g.Expect(len(r.starts)).To(gomega.And(gomega.BeNumerically("<=", 6+2), gomega.BeNumerically(">=", 5)))
}

// TestDrainingAndEvacuatedTargetsGetNoRequests guards against new requests for a
// draining instance or for an evacuated data centre.
func TestDrainingAndEvacuatedTargetsGetNoRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t, 1)
	r.putInstance("g0", engineService, state.Membership{Group: "G0", Epoch: 1, Phase: state.MemberOpen}).Draining = true
	g.Expect(r.lastAttempt(r.sendRequest("/a/", 10))).To(gomega.BeNil())
	r = newRig(t, 1)
	r.tables.Managed.Evacuated["a"] = true
	r.tables.Managed.TargetInputsVersion++
	g.Expect(r.lastAttempt(r.sendRequest("/a/", 10))).To(gomega.BeNil())
}

// TestGroupThatIsNotOpenGetsNoRequests guards against requests for a group whose
// leader is in any phase other than open.
func TestGroupThatIsNotOpenGetsNoRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, phase := range []state.MemberPhase{state.MemberJoining, state.MemberReady, state.MemberClosing, state.MemberBroken} {
		r := newRig(t, 0)
		r.putInstance("g0", engineService, state.Membership{Group: "G", Epoch: 1, Phase: phase})
		g.Expect(r.lastAttempt(r.sendRequest("/a/", 10))).To(gomega.BeNil())
	}
}

// TestCallerDisconnectCancelsAttempt guards against an attempt that keeps a slot
// after its caller has closed the connection.
func TestCallerDisconnectCancelsAttempt(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t, 1)
	id := r.sendRequest("/a/", 10)
	r.step(state.CallerDisconnected{Request: id})
	g.Expect(r.cancels).To(gomega.ContainElement(state.CancelAttempt{Request: id, Attempt: 1}))
	g.Expect(r.system.targets["g0"].load).To(gomega.Equal(state.TargetLoad{Target: "g0"}))
}

// TestIsolatedNodeRefusesRequests guards against requests that wait at a node
// without current evidence of the configuration. A refusal lets the caller's retry
// reach another node.
func TestIsolatedNodeRefusesRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t, 1)
	r.tables.Config.Fresh = false
	refusal := r.replyTo(r.sendRequest("/a/", 10)).Refusal
	g.Expect(refusal.Code).To(gomega.Equal("isolated"))
	g.Expect(refusal.Outcome).To(gomega.Equal(apierror.NotRun))
}

// TestRequestsAreRefusedAfterDrainNotice guards against requests that a node accepts
// late in its shutdown and cannot finish before it exits.
func TestRequestsAreRefusedAfterDrainNotice(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t, 1)
	r.step(state.Shutdown{})
	r.tables.Draining = true
	// The notice counts from the start of the shutdown, also without any request.
	r.advance(1900 * time.Millisecond)
	g.Expect(r.lastAttempt(r.sendRequest("/a/", 10))).NotTo(gomega.BeNil())
	r.advance(200 * time.Millisecond)
	g.Expect(r.replyTo(r.sendRequest("/a/", 10)).Refusal.Code).To(gomega.Equal("shutting_down"))
}

// TestColdTargetHasLimitedSenders guards against the overload of a cold target by
// many nodes that each send their first request at the same moment.
func TestColdTargetHasLimitedSenders(t *testing.T) {
	g := gomega.NewWithT(t)
	senders, sent := 0, 0
	for i := range 73 {
		r := newRig(t, 0)
		r.tables.Self.ID = state.NodeID(fmt.Sprintf("n%02d", i))
		for n := range 73 {
			r.tables.Managed.Nodes.Put(state.NodeID(fmt.Sprintf("n%02d", n)), &state.RegisteredNode{})
		}
		r.tables.Managed.PlatformConfig.Services[0].ColdRequestRate = 17
		r.putInstance("g0", engineService, state.Membership{Group: "G", Epoch: 1, Phase: state.MemberOpen}).ColdRemaining = 10 * time.Second
		for range 20 {
			r.sendRequest("/a/", 10)
			r.advance(50 * time.Millisecond)
		}
		if sent += len(r.starts); len(r.starts) > 0 {
			senders++
		}
	}
	// The platform's bound is 17 x 1.5 + 5 in a second.
	g.Expect(sent).To(gomega.BeNumerically("<=", 30))
	g.Expect(senders).To(gomega.Equal(8))
}

// TestStalledTargetGetsNoRequests guards against new requests for a target whose
// streams are all stalled, even if its load is the lowest.
func TestStalledTargetGetsNoRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t, 2)
	id := r.sendRequest("/a/", 10)
	stalled := r.lastAttempt(id).Target
	r.reportStage(id, state.AttemptFirstByte)
	r.reportStage(id, state.AttemptStalled)
	for range 20 {
		other := r.sendRequest("/a/", 10)
		g.Expect(r.lastAttempt(other).Target).NotTo(gomega.Equal(stalled))
	}
}

// TestRetryAvoidsTriedTarget guards against a retry at the target of the first
// attempt. This failure sets no avoid time and the other target has more load, so
// only the list of tried targets rules the first one out.
func TestRetryAvoidsTriedTarget(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t, 2)
	id := r.sendRequest("/a/", 10)
	first := r.lastAttempt(id)
	for _, other := range []state.HostID{"g0", "g1"} {
		if other != first.ExpectedInstance {
			r.tables.Managed.PeerLoads["n2"] = []state.TargetLoad{{Target: other, Running: 20}}
		}
	}
	r.step(state.PeerMessage{From: "n2", Message: state.Message{PeerStatus: &state.PeerStatus{}}})
	r.endAttempt(id, state.FailureDecisionExpired, apierror.NotRun)
	g.Expect(r.lastAttempt(id).Attempt).To(gomega.Equal(2))
	g.Expect(r.lastAttempt(id).Target).NotTo(gomega.Equal(first.Target))
}

// TestRetryAfterFitsDeadline guards against a Retry-After time that exceeds what the
// caller accepts, which is a third of the time left until its deadline.
func TestRetryAfterFitsDeadline(t *testing.T) {
	g := gomega.NewWithT(t)
	for range 20 {
		r := newRig(t, 0)
		id := state.RequestID("short")
		r.step(state.RequestArrived{ID: id, Routed: &state.RoutedRequest{
			HostName: "shop.example", Path: "/a/", HasKey: true, KeyHash: sha256.Sum256([]byte(apiKey)), Model: modelName,
			Timeout: 600 * time.Millisecond,
		}})
		g.Expect(r.replyTo(id).Refusal.RetryAfter).To(gomega.BeNumerically("<=", 200*time.Millisecond))
	}
}

// TestNonIdempotentRequestIsNotRetriedWithAttemptsLeft guards against a second
// execution of a non-idempotent request on a route that allows several attempts.
// Only an attempt that did not run is retried.
func TestNonIdempotentRequestIsNotRetriedWithAttemptsLeft(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t, 1)
	r.tables.Managed.PlatformConfig.Routes[1].MaxAttempts = 3
	broken := r.sendRequest("/a/b/", 0)
	r.endAttempt(broken, state.FailureConnectionLost, apierror.Unknown)
	g.Expect(r.lastAttempt(broken).Attempt).To(gomega.Equal(1))
	refused := r.sendRequest("/a/b/", 0)
	r.endAttempt(refused, state.FailureTargetRefused, apierror.NotRun)
	g.Expect(r.lastAttempt(refused).Attempt).To(gomega.Equal(2))
}

// TestRequestSizeLimits guards against requests that exceed the limits of the
// operator, and against refusals by limits that are not set.
func TestRequestSizeLimits(t *testing.T) {
	g := gomega.NewWithT(t)
	limits := state.CallerLimits{MaxHeaderBytes: 100, MaxBodyBytes: 1000}
	g.Expect(checkSize(&state.RoutedRequest{HeaderBytes: 100, BodyBytes: 1000}, limits)).To(gomega.BeNil())
	g.Expect(checkSize(&state.RoutedRequest{HeaderBytes: 101}, limits).Code).To(gomega.Equal("header_too_large"))
	g.Expect(checkSize(&state.RoutedRequest{BodyBytes: 1001}, limits).Code).To(gomega.Equal("body_too_large"))
	g.Expect(checkSize(&state.RoutedRequest{BodyBytes: 1 << 30}, state.CallerLimits{})).To(gomega.BeNil())
	r := newRig(t, 1)
	r.tables.Managed.PlatformConfig.Limits = state.CallerLimits{MaxHeaderBytes: 1}
	id := state.RequestID("large")
	r.step(state.RequestArrived{ID: id, Routed: &state.RoutedRequest{HostName: "shop.example", Path: "/a/", HeaderBytes: 2, Timeout: time.Second}})
	g.Expect(r.replyTo(id).Refusal.Kind).To(gomega.Equal(apierror.KindTooLarge))
}

// TestNodesWithStaleLoadsSpreadRequests guards against many nodes that all choose
// the same group because the loads of their peers are old. A group that has just
// become free must not get all requests until the next peer status, and a full
// group gets none.
func TestNodesWithStaleLoadsSpreadRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	// maxShares is how many times its equal share the least loaded group may get.
	const groups, draws, maxShares = 30, 3000, 3
	r := newRig(t, groups)
	for i := range state.MaxFullMeshNodes + 1 {
		id := state.NodeID(fmt.Sprintf("n%d", i))
		r.tables.Managed.Nodes.Put(id, &state.RegisteredNode{})
	}
	loads := []state.TargetLoad{{Target: "g1", Running: 26}}
	for i := 2; i < groups; i++ {
		loads = append(loads, state.TargetLoad{Target: state.HostID(fmt.Sprintf("g%d", i)), Running: 10 + i%5})
	}
	r.tables.Managed.PeerLoads["n2"] = loads
	r.receiveStatuses()
	active := &activeRequest{pool: r.system.pools[poolKey{engineService, modelName}], req: &state.Request{Arrival: state.RequestArrived{Routed: &state.RoutedRequest{PromptTokens: 1000}}}}
	picks := map[state.HostID]int{}
	for range draws {
		picks[r.system.pickTarget(r.now, active).id]++
	}
	g.Expect(picks["g0"]).To(gomega.BeNumerically("<", draws*maxShares/groups*3/2))
	g.Expect(picks["g0"]).To(gomega.BeNumerically(">", draws/groups))
	g.Expect(picks["g1"]).To(gomega.BeZero())
}

// TestCallersOfRefusingTargetReturnSpread guards against callers that are told to return
// at the same time after a target refused their requests.
func TestCallersOfRefusingTargetReturnSpread(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t, 1)
	times := map[time.Duration]bool{}
	for range 30 {
		id := r.sendRequest("/a/b/", 0)
		r.step(state.AttemptEvent{Request: id, Attempt: 1, Stage: state.AttemptEnded, Failure: state.FailureTargetRefused, Outcome: apierror.NotRun})
		after := r.replyTo(id).Refusal.RetryAfter
		g.Expect(after).To(gomega.BeNumerically("~", minRetryAfter, minRetryAfter/2))
		times[after/time.Millisecond] = true
		r.advance(fullAvoidTime)
	}
	g.Expect(len(times)).To(gomega.BeNumerically(">", 15))
}

// TestStalledAttemptWithoutEventDoesNotHideActiveStream guards against a target that gets
// no requests, although one of its streams delivers events, because as many attempts
// without a first event are stalled.
func TestStalledAttemptWithoutEventDoesNotHideActiveStream(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t, 1)
	running := r.sendRequest("/a/", 10)
	r.step(state.AttemptEvent{Request: running, Attempt: 1, Stage: state.AttemptFirstByte})
	waiting := r.sendRequest("/a/", 10)
	r.step(state.AttemptEvent{Request: waiting, Attempt: 1, Stage: state.AttemptStalled})
	r.tables.Managed.PeerStalledTargets["g0"] = r.now
	g.Expect(r.lastAttempt(r.sendRequest("/a/", 10))).NotTo(gomega.BeNil())
}

// TestRequestsStayInTheirDataCentre replays a fleet of five data centres whose groups are
// equally loaded. It guards against requests that mostly cross to another data centre, and
// against those that stay although the groups of their own are much more loaded.
func TestRequestsStayInTheirDataCentre(t *testing.T) {
	g := gomega.NewWithT(t)
	// localPart is the least part of the requests that stays while all groups are equally loaded.
	const draws, localPart = 2000, 0.6
	r := newRig(t, 50)
	for i := range 50 {
		if i%5 != 0 {
			r.tables.Managed.Instances.Get(state.HostID(fmt.Sprintf("g%d", i))).DataCentre = "b"
		}
	}
	r.tables.Managed.TargetInputsVersion++
	for i := range state.MaxFullMeshNodes + 1 {
		r.tables.Managed.Nodes.Put(state.NodeID(fmt.Sprintf("n%d", i)), &state.RegisteredNode{})
	}
	for localLoad, local := range map[int]gomega.OmegaMatcher{5: gomega.BeNumerically(">", draws*localPart), 24: gomega.BeNumerically("<", 0.1*draws)} {
		var loads []state.TargetLoad
		for i := range 50 {
			running := 5
			if i%5 == 0 {
				running = localLoad
			}
			loads = append(loads, state.TargetLoad{Target: state.HostID(fmt.Sprintf("g%d", i)), Running: running})
		}
		r.tables.Managed.PeerLoads["n2"] = loads
		r.receiveStatuses()
		active := &activeRequest{pool: r.system.pools[poolKey{engineService, modelName}], req: &state.Request{Arrival: state.RequestArrived{Routed: &state.RoutedRequest{PromptTokens: 1000}}}}
		stayed := 0
		for range draws {
			if r.system.pickTarget(r.now, active).dataCentre == "a" {
				stayed++
			}
		}
		g.Expect(stayed).To(local, "local load %d", localLoad)
	}
}
