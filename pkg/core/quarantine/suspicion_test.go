package quarantine

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// TestStreamThatEndsTargetsBeforeItsHead guards against a request that ends one target after
// another before it has a head, and against a quarantine of requests whose answers were broken
// off by targets that go on, and of the parts that they share with others.
func TestStreamThatEndsTargetsBeforeItsHead(t *testing.T) {
	lost := state.AttemptEvent{Stage: state.AttemptEnded, Failure: state.FailureConnectionLost}
	for _, c := range []struct {
		name        string
		after       func(f *fleet, target int)
		quarantined bool
	}{
		{"the entry expires", func(f *fleet, target int) { f.instances().Delete(process(target).Host) }, true},
		{"another process has the ID", func(f *fleet, target int) {
			f.instances().Put(process(target).Host, &state.Instance{ID: process(target).Host, StartID: 2})
		}, true},
		{"the target goes on", func(*fleet, int) {}, false},
		{"the target answers later and ends then", func(f *fleet, target int) {
			f.now += time.Second
			f.attempt(0, target, started, request(9))
			for revision := range uint64(minRenewals) {
				f.instances().Put(process(target).Host, &state.Instance{ID: process(target).Host, StartID: 1, Revision: revision + 1})
				f.step(0, state.Tick{})
			}
			f.instances().Delete(process(target).Host)
		}, false},
		{"the next process under the ID answers", func(f *fleet, target int) {
			f.now += time.Second
			f.attempt(0, target, started, request(9))
			f.instances().Put(process(target).Host, &state.Instance{ID: process(target).Host, StartID: 2, Revision: 1})
		}, true},
		{"the target ends much later", func(f *fleet, target int) {
			f.now += suspicionTimeout + time.Second
			f.step(0, state.Tick{})
			f.instances().Delete(process(target).Host)
		}, false},
	} {
		g := gomega.NewWithT(t)
		f := newFleet(1)
		f.route = &state.Route{Stream: true}
		for i := range minCrashes {
			f.instances().Put(process(i).Host, &state.Instance{ID: process(i).Host, StartID: 1})
			f.attempt(0, i, lost, request(1), faulty)
			c.after(f, i)
			f.now += time.Second
			f.step(0, state.Tick{})
		}
		_, quarantined := f.nodes[0].tables.Managed.Quarantined[request(1)]
		g.Expect(quarantined).To(gomega.Equal(c.quarantined), c.name)
		f.expectQuarantined(g, false)
	}
}

// instances returns the list of instances of the first node.
func (f *fleet) instances() *state.Table[state.HostID, state.Instance] {
	return f.nodes[0].tables.Managed.Instances
}
