package formation

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// TestLeavesRetryLeaseLater guards against leaves that all call the store for the lease
// five times a second while it is down. Hubs do, so that the lease is renewed at once when
// the store is back.
func TestLeavesRetryLeaseLater(t *testing.T) {
	for _, c := range []struct {
		hubs  map[state.NodeID]bool
		calls int
	}{{nil, 30}, {map[state.NodeID]bool{"n1": true}, 30}, {map[state.NodeID]bool{"n2": true}, 3}} {
		g := gomega.NewWithT(t)
		r := newRig(t)
		r.tables.Managed.Hubs = c.hubs
		calls := 0
		for range 8 * int(time.Second/state.TickPeriod) {
			r.now += state.TickPeriod
			var out state.Outbox
			r.system.Step(r.now, state.Tick{}, &out)
			for _, o := range out.Outputs {
				if request, ok := o.(state.StoreRequest); ok {
					calls++
					r.system.Step(r.now, state.StoreReply{ID: request.ID, Result: state.StoreUnavailable}, &out)
				}
			}
		}
		if c.calls > 3 {
			g.Expect(calls).To(gomega.BeNumerically(">=", c.calls))
		} else {
			g.Expect(calls).To(gomega.BeNumerically("<=", c.calls))
		}
	}
}
