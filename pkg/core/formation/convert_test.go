package formation

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// TestConversionCutsNoStreamsWithoutRoom guards against streams of a sound group that are cut off
// because its hosts go to another model, and that no other group can take over, and against a
// group that keeps its hosts for good.
func TestConversionCutsNoStreamsWithoutRoom(t *testing.T) {
	const streams = 3
	for name, c := range map[string]struct {
		// free is the number of free slots of all other groups, and roomAfter when one that
		// is enough becomes free.
		free      int
		roomAfter time.Duration
		cutAfter  time.Duration
	}{
		"room":        {free: streams, cutAfter: conversionCloseTimeout},
		"no room":     {free: streams - 1, cutAfter: gracefulCloseTimeout},
		"room later":  {free: streams - 1, roomAfter: 3 * time.Second, cutAfter: 3 * time.Second},
		"full before": {free: 0, cutAfter: gracefulCloseTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			r := newRig(t)
			r.startTraffic()
			leader := r.memberOf(large, 0)
			group := r.system.hosts.get(leader).lastGroup
			slots := r.system.engineOf(group.service).Slots
			m := r.tables.Managed
			fill := func(free int) {
				for other := range r.hosts {
					m.Loads[other] = &state.TargetLoad{Target: other, Running: slots - 1, Waiting: 1}
				}
				for other := range r.openGroups(large) {
					if other != leader {
						m.Loads[other].Running -= free
						break
					}
				}
				m.Loads[leader] = &state.TargetLoad{Target: leader, Running: streams - 1}
				m.PeerLoads["n2"] = []state.TargetLoad{{Target: leader, Waiting: 1}}
			}
			g.Expect(len(r.openGroups(large))).To(gomega.BeNumerically(">", 1))
			fill(c.free)
			r.hosts[leader].busy = true
			group.converting = true
			var out state.Outbox
			r.system.startRetiring(r.now, group, "test", false, &out)
			retiredAt, cutAt := r.now, time.Duration(0)
			for r.now < retiredAt+gracefulCloseTimeout+time.Second && cutAt == 0 {
				fill(c.free)
				if c.roomAfter > 0 && r.now-retiredAt >= c.roomAfter {
					fill(streams)
				}
				n := len(r.orders)
				r.run(state.TickPeriod)
				for _, order := range r.orders[n:] {
					if order.Host == leader && order.Operation == state.HostCloseImmediate {
						cutAt = r.now
					}
				}
			}
			g.Expect(cutAt - retiredAt).To(gomega.BeNumerically("~", c.cutAfter, 300*time.Millisecond))
		})
	}
}
