package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// statusTime returns the median time of a step for the status of one of several peers, each of
// which reports a load on ten targets.
func statusTime(t *testing.T, peers int) time.Duration {
	r := newRig(t, 10)
	r.step(state.Tick{})
	var times []time.Duration
	for range 20 {
		r.now += state.PeerStatusPeriod
		for p := range peers {
			from := state.NodeID(fmt.Sprintf("p%d", p))
			var loads []state.TargetLoad
			for g := range 10 {
				loads = append(loads, state.TargetLoad{Target: state.HostID(fmt.Sprintf("g%d", g)), Running: 1})
			}
			r.tables.Managed.PeerLoads[from] = loads
			start := time.Now()
			r.step(state.PeerMessage{From: from, Message: state.Message{PeerStatus: &state.PeerStatus{Loads: loads}}})
			times = append(times, time.Since(start))
		}
	}
	slices.Sort(times)
	return times[len(times)/2]
}

// TestStatusOfPeerDoesNotGrowWithPeers guards against a hub whose processor time grows with the
// square of its leaves, since each status makes it sum up those of all others.
func TestStatusOfPeerDoesNotGrowWithPeers(t *testing.T) {
	// jitter is what caches and interruptions add to a step of a microsecond.
	const margin, jitter = 4, 10 * time.Microsecond
	few, many := statusTime(t, 5), statusTime(t, 70)
	t.Logf("%v with 5 peers, %v with 70", few, many)
	if many > margin*few+jitter {
		t.Errorf("a status costs %v with 5 peers and %v with 70", few, many)
	}
}

// TestPlacementFollowsLatestStatus guards against a request that is placed by reports of peers
// that newer ones have replaced.
func TestPlacementFollowsLatestStatus(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t, 2)
	r.step(state.Tick{})
	for i := range 20 {
		busy, idle := state.HostID(fmt.Sprintf("g%d", i%2)), state.TargetID(fmt.Sprintf("g%d", 1-i%2))
		loads := []state.TargetLoad{{Target: busy, Running: 20}}
		r.tables.Managed.PeerLoads["p"] = loads
		r.step(state.PeerMessage{From: "p", Message: state.Message{PeerStatus: &state.PeerStatus{Loads: loads}}})
		id := r.sendRequest("/a/x", 100)
		g.Expect(r.starts[len(r.starts)-1].Target).To(gomega.Equal(idle), "request %s", id)
	}
}
