package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// nameLimit makes a target of the rig name a limit.
func (r *rig) nameLimit(id string, rate float64) {
	r.tables.Managed.TargetLimits[state.HostID(id)] = state.TargetLimit{Host: state.HostID(id), StartID: 1, Rate: rate, ConfirmedAt: r.now}
}

// startsAt returns the times at which attempts at a target were started.
func (r *rig) startsAt(id string) []time.Duration {
	var times []time.Duration
	for _, start := range r.starts {
		if start.Target == state.TargetID(id) {
			times = append(times, start.DecidedAt)
		}
	}
	return times
}

// maxInWindow returns the largest number of times in any window.
func maxInWindow(times []time.Duration, window time.Duration) int {
	slices.Sort(times)
	most := 0
	for i, from := range times {
		n, _ := slices.BinarySearch(times[i:], from+window)
		most = max(most, n)
	}
	return most
}

// TestReplayOfBoundOverAllNodes replays a load under which each node would always send one
// more request to a target with a bound, at nodes that start together. It guards against a
// sum over all nodes above what the platform allows, and against a target that stays idle.
// Of the plainer rules, with the bound at each node the sum grows with the nodes, and with
// an equal part for each node their first requests alone exceed it.
func TestReplayOfBoundOverAllNodes(t *testing.T) {
	bounds := []struct {
		name   string
		window time.Duration
		apply  func(r *rig, rate float64)
	}{
		{"named limit", 4 * time.Second, func(r *rig, rate float64) { r.nameLimit("g0", rate) }},
		{"cold", time.Second, func(r *rig, rate float64) {
			g0 := r.tables.Managed.Instances.Get("g0")
			g0.ColdRemaining, g0.RevisionSeenAt = time.Hour, r.now
			for i := range r.tables.Managed.PlatformConfig.Services {
				r.tables.Managed.PlatformConfig.Services[i].ColdRequestRate = rate
			}
			r.tables.Managed.TargetInputsVersion++
		}},
	}
	const duration = 40 * time.Second
	for _, bound := range bounds {
		for _, nodes := range []int{1, 6, 24, 295} {
			for _, rate := range []float64{0.3, 1, 3.6, 36} {
				var shared, alone, equal []time.Duration
				for n := range nodes {
					r := newRig(t, 1)
					r.tables.Self.ID = state.NodeID(fmt.Sprintf("n%d", n))
					for i := range nodes {
						id := state.NodeID(fmt.Sprintf("n%d", i))
						r.tables.Managed.Nodes.Put(id, &state.RegisteredNode{})
					}
					bound.apply(r, rate)
					r.step(state.Tick{})
					own := rateShare{}
					own.set(r.now, rateBound{rate, 2}, 1, true)
					part := rateShare{}
					part.set(r.now, rateBound{rate / float64(nodes), 2}, 1, true)
					for now := r.now; now < r.now+duration; now += 20 * time.Millisecond {
						for share, times := range map[*rateShare]*[]time.Duration{r.system.share(now, r.system.targets["g0"]): &shared, &own: &alone, &part: &equal} {
							if share.wait(now) == 0 {
								share.take(now)
								*times = append(*times, now)
							}
						}
					}
				}
				g := gomega.NewWithT(t)
				allowed := 1.5*rate*bound.window.Seconds() + 5
				g.Expect(maxInWindow(shared, bound.window)).To(gomega.BeNumerically("<=", allowed), "%s, %d nodes, rate %v", bound.name, nodes, rate)
				used := float64(len(shared)) / duration.Seconds()
				g.Expect(used).To(gomega.BeNumerically(">=", 0.9*rate), "%s, %d nodes, rate %v", bound.name, nodes, rate)
				if nodes >= 24 {
					g.Expect(maxInWindow(alone, bound.window)).To(gomega.BeNumerically(">", allowed), "%s, %d nodes, rate %v", bound.name, nodes, rate)
				}
				if nodes == 295 {
					g.Expect(maxInWindow(equal, bound.window)).To(gomega.BeNumerically(">", allowed), "%s, %d nodes, rate %v", bound.name, nodes, rate)
				}
			}
		}
	}
}

// TestVeryHighLimitIsNoBound guards against a limit beyond the range of an integer that only
// one node may use.
func TestVeryHighLimitIsNoBound(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, rate := range []float64{100, 1e18, 1e300} {
		g.Expect(newRateBound(rate, limitBurstTime).senders(6)).To(gomega.Equal(6), "rate %v", rate)
	}
}

// TestTargetAtItsLimitHidesNoOther guards against requests that wait although a target is
// free, because targets at their limit have the fewest requests and seem to be the best.
func TestTargetAtItsLimitHidesNoOther(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t, 4)
	for _, id := range []string{"g0", "g1", "g2"} {
		r.nameLimit(id, 2)
	}
	rnd := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		id := r.sendRequest("/a/x", 600)
		g.Expect(r.lastAttempt(id)).NotTo(gomega.BeNil(), "a request waits or is refused")
		r.advance(time.Duration(20+rnd.IntN(60)) * time.Millisecond)
		r.reportStage(id, state.AttemptFirstByte)
		r.advance(10 * time.Millisecond)
		r.endAttempt(id, state.FailureNone, apierror.Done)
	}
	for _, id := range []string{"g0", "g1", "g2"} {
		g.Expect(maxInWindow(r.startsAt(id), 4*time.Second)).To(gomega.BeNumerically("<=", 1.5*2*4+5), id)
		g.Expect(len(r.startsAt(id))).To(gomega.BeNumerically(">", 10), id)
	}
}

// TestRetryAtALimitedTargetCounts guards against repeats and failovers that pass by the
// limit of their target.
func TestRetryAtALimitedTargetCounts(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t, 0)
	for _, id := range []string{"d0", "d1", "d2"} {
		r.nameLimit(id, 2)
	}
	for range 100 {
		id := r.sendRequest("/l/x", 0)
		if r.lastAttempt(id) != nil {
			r.endAttempt(id, state.FailureConnectionLost, apierror.Unknown)
		}
		r.advance(20 * time.Millisecond)
	}
	retries := 0
	for _, start := range r.starts {
		if start.Attempt > 1 {
			retries++
		}
	}
	g.Expect(retries).To(gomega.BeNumerically(">", 0))
	for _, id := range []string{"d0", "d1", "d2"} {
		g.Expect(maxInWindow(r.startsAt(id), 2*time.Second)).To(gomega.BeNumerically("<=", 2*2+2), id)
	}
}

// TestRequestsBeyondAllLimitsAreRefusedAtOnce replays a service whose replicas all name a
// limit, in sum a quarter of its traffic, after a time without limits. It guards against
// requests that wait in vain, and against callers that are told to return sooner than the
// limits allow.
func TestRequestsBeyondAllLimitsAreRefusedAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t, 0)
	send := func() state.RequestID {
		id := r.sendRequest("/l/x", 0)
		if r.lastAttempt(id) != nil {
			r.endAttempt(id, state.FailureNone, apierror.Done)
		}
		r.advance(50 * time.Millisecond)
		return id
	}
	for range 60 {
		g.Expect(r.lastAttempt(send())).NotTo(gomega.BeNil())
	}
	for _, id := range []string{"d0", "d1", "d2"} {
		r.nameLimit(id, 5.0/3)
	}
	served, refused := 0, 0
	var total time.Duration
	for range 200 {
		id := send()
		if r.lastAttempt(id) != nil {
			served++
			continue
		}
		refused++
		reply := r.replyTo(id)
		g.Expect(reply).NotTo(gomega.BeNil(), "a request waits")
		g.Expect(reply.Refusal.Outcome).To(gomega.Equal(apierror.NotRun))
		total += reply.Refusal.RetryAfter
	}
	g.Expect(served).To(gomega.BeNumerically("~", 50, 10), "of 200 in 10 s, at 5 a second")
	g.Expect(total / time.Duration(refused)).To(gomega.BeNumerically(">", 100*time.Millisecond))
	// The limits end.
	clear(r.tables.Managed.TargetLimits)
	for range 20 {
		g.Expect(r.lastAttempt(send())).NotTo(gomega.BeNil())
	}
}

// TestLimitOfAnotherProcessDoesNotCount guards against the limit of a process that has
// ended at the process that has its ID.
func TestLimitOfAnotherProcessDoesNotCount(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t, 1)
	r.nameLimit("g0", 1)
	row := r.putInstance("g0", engineService, state.Membership{Group: "G0", Epoch: 2, Phase: state.MemberOpen})
	row.StartID = 2
	for range 20 {
		g.Expect(r.lastAttempt(r.sendRequest("/a/x", 10))).NotTo(gomega.BeNil())
	}
}
