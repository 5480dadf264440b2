package formation

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const (
	// probeTimeout is how long the node waits for the report of a host.
	probeTimeout = 300 * time.Millisecond
	// stallSeenAfter is how long streams are silent before a node finds them stalled, and
	// stallSpreadTime the time until the lease holder knows that all nodes do.
	stallSeenAfter  = 450 * time.Millisecond
	stallSpreadTime = 150 * time.Millisecond
	// soundSilence is how long a sound group is silent before it goes on.
	soundSilence = 1200 * time.Millisecond
)

// silentPart is what is silent of a sound group.
type silentPart struct {
	// rank is that of the silent host.
	rank int
	// reports is set if the host answers no probe either.
	reports bool
	// everywhere is set if all nodes have streams to the group and find them stalled;
	// otherwise the lease holder is the only one.
	everywhere bool
}

// runSilence lets a sound group be silent for soundSilence and go on, and checks that no order
// ends it.
func runSilence(t *testing.T, part silentPart) {
	g := gomega.NewWithT(t)
	r := newRig(t)
	r.startTraffic()
	r.reportTimeout = probeTimeout
	host := r.memberOf(large, part.rank)
	group := r.system.hosts.get(host).lastGroup
	orders, leader, m := len(r.orders), group.leader(), r.tables.Managed
	r.hosts[host].unresponsive = part.reports
	r.run(stallSeenAfter)
	m.StalledTargets[leader] = r.now
	r.run(stallSpreadTime)
	if part.everywhere {
		m.GloballyStalledTargets[leader] = r.now
	} else {
		m.PeerLoads["n2"] = []state.TargetLoad{{Target: leader, Running: 3}}
	}
	r.run(soundSilence - stallSeenAfter - stallSpreadTime)
	r.hosts[host].unresponsive = false
	delete(m.StalledTargets, leader)
	delete(m.GloballyStalledTargets, leader)
	r.run(time.Second)
	for _, order := range r.orders[orders:] {
		if order.Group == group.id {
			t.Errorf("%s is ordered to %s", order.Host, operationNames[order.Operation])
		}
	}
	g.Expect(group.retiring).To(gomega.BeFalse())
}

// TestSilentStreamsDoNotEndGroup guards against a sound group that is ended because its
// streams are silent for a second, while all its hosts answer probes.
func TestSilentStreamsDoNotEndGroup(t *testing.T) {
	runSilence(t, silentPart{everywhere: true})
}

// TestSilentLeaderDoesNotEndGroup guards against a sound group that is ended because its
// leader is silent, also to probes, for a second.
func TestSilentLeaderDoesNotEndGroup(t *testing.T) {
	runSilence(t, silentPart{reports: true, everywhere: true})
}

// TestSilentMemberDoesNotEndGroup guards against a sound group that is ended because one of
// its members is silent, also to probes, for a second.
func TestSilentMemberDoesNotEndGroup(t *testing.T) {
	runSilence(t, silentPart{rank: 1, reports: true, everywhere: true})
}

// TestLeaderSilentToOneNodeDoesNotEndGroup guards against a sound group that is ended
// because the lease holder alone finds its leader silent, while other nodes receive events.
func TestLeaderSilentToOneNodeDoesNotEndGroup(t *testing.T) {
	runSilence(t, silentPart{reports: true})
}

// TestHostThatStaysSilentEndsGroup guards against a group that is kept for ever because one of
// its hosts accepts connections and never answers.
func TestHostThatStaysSilentEndsGroup(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t)
	r.startTraffic()
	r.reportTimeout = probeTimeout
	host := r.memberOf(large, 1)
	group := r.system.hosts.get(host).lastGroup
	r.hosts[host].unresponsive = true
	r.run(stallSeenAfter + stallSpreadTime)
	r.tables.Managed.StalledTargets[group.leader()] = r.now
	r.tables.Managed.GloballyStalledTargets[group.leader()] = r.now
	r.run(maxSoundSilence + 2*probeTimeout)
	g.Expect(group.retiring).To(gomega.BeTrue())
}
