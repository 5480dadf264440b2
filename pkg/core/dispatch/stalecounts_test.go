package dispatch

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// TestSharesLevelTheCosts guards against requests that all go to the target of the lowest cost,
// and against more requests than a target has room for.
func TestSharesLevelTheCosts(t *testing.T) {
	g := gomega.NewWithT(t)
	const ms = time.Millisecond
	options := []option{{cost: 10 * ms, slope: ms, room: 100}, {cost: 20 * ms, slope: ms, room: 100}, {cost: 90 * ms, slope: ms, room: 100}}
	shares, level := fillShares(options, 30)
	g.Expect(shares[0]).To(gomega.BeNumerically("~", 20, 0.1))
	g.Expect(shares[1]).To(gomega.BeNumerically("~", 10, 0.1))
	g.Expect(shares[2]).To(gomega.BeZero())
	g.Expect(level).To(gomega.BeNumerically("~", 30*ms, 100*time.Microsecond))
	options[0].room = 5
	shares, _ = fillShares(options, 30)
	g.Expect(shares[0]).To(gomega.BeNumerically("==", 5))
	g.Expect(sum(shares)).To(gomega.BeNumerically("~", 30, 0.1))
	shares, _ = fillShares(options, 1000)
	g.Expect(sum(shares)).To(gomega.BeNumerically("==", 205))
}

// arrivedRates returns a pool at which requests of several priorities have arrived, at the
// given rates per second.
func arrivedRates(now time.Duration, perSecond ...float64) *targetPool {
	pool := &targetPool{classes: classRates{arrived: map[int]*decayingRate{}}}
	for priority, rate := range perSecond {
		pool.classes.arrived[priority] = &decayingRate{perSecond: rate, updatedAt: now}
	}
	return pool
}

// TestRoomGoesToUrgentClassesFirst guards against urgent requests that are refused while less
// urgent ones get the room, and against a class that is shut out.
func TestRoomGoesToUrgentClassesFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	const now = time.Second
	pool := arrivedRates(now, 6, 3, 1)
	g.Expect(pool.admittedPart(now, 0, 0.6)).To(gomega.BeNumerically(">=", 1))
	g.Expect(pool.admittedPart(now, 1, 0.8)).To(gomega.BeNumerically("~", 2.0/3, 0.01))
	g.Expect(pool.admittedPart(now, 1, 0.6)).To(gomega.BeNumerically("~", leastAdmittedPart*0.6, 0.01))
	g.Expect(pool.admittedPart(now, 2, 0.6)).To(gomega.BeNumerically("~", leastAdmittedPart*0.6, 0.01))
	g.Expect(pool.admittedPart(now, 2, 1)).To(gomega.BeNumerically(">=", 1))
}

// TestNodeWithoutAdmissionsStillAdmits guards against a node that has admitted no request for
// some seconds, takes the load for many times what it is, and admits none further.
func TestNodeWithoutAdmissionsStillAdmits(t *testing.T) {
	g := gomega.NewWithT(t)
	pool := arrivedRates(time.Second, 5)
	pool.classes.admitted = decayingRate{perSecond: 1e-6, updatedAt: time.Second}
	g.Expect(pool.offeredRatio(time.Second)).To(gomega.BeNumerically("<=", maxOfferedRatio))
	pool.classes.admitted.perSecond = 5
	g.Expect(pool.offeredRatio(time.Second)).To(gomega.BeNumerically("~", 1, 0.01))
}

// TestFixedLatencyLeavesOutCongestion guards against a prediction that takes the waits of a few
// slow targets for a time that each request needs, and then refuses requests that could be in
// time.
func TestFixedLatencyLeavesOutCongestion(t *testing.T) {
	g := gomega.NewWithT(t)
	var f fixedLatency
	for i := range minLatencySamples - 1 {
		f.add(time.Duration(100+i) * time.Millisecond)
	}
	g.Expect(f.value).To(gomega.BeZero())
	for i := range latencySamples {
		sample := 100 * time.Millisecond
		if i%2 == 0 {
			sample = 2 * time.Second
		}
		f.add(sample)
	}
	g.Expect(f.value).To(gomega.Equal(100 * time.Millisecond))
	for range latencySamples {
		f.add(40 * time.Millisecond)
	}
	g.Expect(f.value).To(gomega.Equal(40 * time.Millisecond))
}

// relayedNodes is the number of nodes of an installation without a full mesh.
const relayedNodes = 30

// newRelayedRig returns a rig of a node in an installation without a full mesh.
func newRelayedRig(t *testing.T, groups int) *rig {
	r := newRig(t, groups)
	for i := range relayedNodes {
		r.tables.Managed.Nodes.Put(state.NodeID(string(rune('a'+i%26))+string(rune('a'+i/26))), &state.RegisteredNode{Entry: state.NodeEntry{DataCentre: "a"}})
	}
	r.step(state.Tick{})
	return r
}

// TestNodeWithoutReportsAssumesItsOwnLoadElsewhere guards against nodes that all start at the
// same moment, or have all lost their hub, find all targets idle, and send many times what
// these have room for.
func TestNodeWithoutReportsAssumesItsOwnLoadElsewhere(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRelayedRig(t, 3)
	r.now += 10 * time.Second
	for range 40 {
		r.sendRequest("/a/", 10)
	}
	// 26 slots of each group over 30 nodes are 2.6 requests for each of them.
	g.Expect(len(r.starts)).To(gomega.And(gomega.BeNumerically(">=", 1), gomega.BeNumerically("<=", 6)))
	report := func() {
		r.now += state.PeerStatusPeriod
		r.step(state.PeerMessage{From: "aa", Message: state.Message{PeerStatus: &state.PeerStatus{}}})
	}
	report()
	r.starts = nil
	for range 40 {
		r.sendRequest("/a/", 10)
	}
	g.Expect(len(r.starts)).To(gomega.BeNumerically("<=", 3), "first counts, of the few nodes that are linked")
	r.starts = nil
	for range maxSilence / state.PeerStatusPeriod {
		report()
	}
	for range 40 {
		r.sendRequest("/a/", 10)
	}
	g.Expect(len(r.starts)).To(gomega.BeNumerically(">", 20))
}

// TestLateRequestIsServedWhereThereIsRoom guards against a request that is refused because its
// objective has passed, while targets have much room.
func TestLateRequestIsServedWhereThereIsRoom(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRelayedRig(t, 2)
	r.step(state.PeerMessage{From: "aa", Message: state.Message{PeerStatus: &state.PeerStatus{}}})
	pool := r.system.pools[poolKey{engineService, modelName}]
	for range latencySamples {
		pool.fixedLatency.add(time.Hour)
	}
	g.Expect(r.lastAttempt(r.sendRequest("/a/", 10))).NotTo(gomega.BeNil())
}

// TestRefusalsDoNotShortenResidence guards against full targets that refuse requests at once,
// so that all streams there seem to end within milliseconds and more requests are sent.
func TestRefusalsDoNotShortenResidence(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRelayedRig(t, 2)
	r.receiveStatuses()
	pool := r.system.pools[poolKey{engineService, modelName}]
	before := pool.residence()
	refused := 0
	for range 20 {
		id := r.sendRequest("/a/", 10)
		for r.lastAttempt(id) != nil && r.replyTo(id) == nil && refused < 20 {
			r.now += 2 * time.Millisecond
			r.endAttempt(id, state.FailureTargetRefused, apierror.NotRun)
			refused++
		}
		r.receiveStatuses()
	}
	g.Expect(refused).To(gomega.BeNumerically(">", 5))
	g.Expect(pool.residence()).To(gomega.Equal(before))
}

// TestFreeSlotIsUsedUnderOverload guards against a request that is refused while a slot is free,
// because the room is estimated from slots that may become free.
func TestFreeSlotIsUsedUnderOverload(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRelayedRig(t, 1)
	r.tables.Managed.PlatformConfig.Services[0].Engine.Slots = 3
	r.tables.Managed.TargetInputsVersion++
	r.tables.Managed.PeerLoads["aa"] = []state.TargetLoad{{Target: "g0", Running: 2}}
	r.receiveStatuses()
	pool := r.system.pools[poolKey{engineService, modelName}]
	pool.classes = arrivedRates(r.now, 5).classes
	active := &activeRequest{pool: pool, objectiveEnd: r.now + time.Second, req: &state.Request{Arrival: state.RequestArrived{Routed: &state.RoutedRequest{PromptTokens: 10}}}}
	a := r.system.admission(r.now, active)
	g.Expect(a.placed).To(gomega.BeNumerically(">=", 1))
}

// TestNewEngineProfileForgetsLatency guards against a prediction by what was learned with
// another engine.
func TestNewEngineProfileForgetsLatency(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRelayedRig(t, 1)
	pool := r.system.pools[poolKey{engineService, modelName}]
	pool.meanResidence = time.Second
	setStepTime := func(version uint64, step time.Duration) {
		config := platformConfig(version)
		config.Services[0].Engine.StepTime = step
		r.tables.Managed.PlatformConfig = config
		r.tables.Managed.TargetInputsVersion++
		r.step(state.Tick{})
	}
	setStepTime(2, 6*time.Millisecond)
	g.Expect(pool.meanResidence).To(gomega.Equal(time.Second))
	setStepTime(3, 9*time.Millisecond)
	g.Expect(pool.meanResidence).To(gomega.BeZero())
}
