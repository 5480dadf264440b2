package inventory

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

// unreadable returns the entry of another writer under the key of an instance.
func unreadable(id string, revision uint64) state.RowUpdate {
	return state.RowUpdate{Key: id, Revision: revision, Removed: true, Unreadable: true}
}

// TestOverwrittenEntryChangesNothing guards against a sound instance that is lost, and ends its
// group, because another writer has put an entry without content in the place of its own, in a
// change, in a snapshot or through a peer.
func TestOverwrittenEntryChangesNothing(t *testing.T) {
	for name, feed := range map[string]func(r *rig){
		"change":   func(r *rig) { r.feedChanges(state.InstanceTable, 110, unreadable("i1", 110)) },
		"snapshot": func(r *rig) { r.feedTable(state.InstanceTable, 110, unreadable("i1", 110)) },
		"peer": func(r *rig) {
			r.receivePeerStatus(holderID, state.PeerStatus{})
			r.relayInstances(unreadable("i1", 110))
		},
		"repeated": func(r *rig) {
			for i := range uint64(10) {
				r.feedChanges(state.InstanceTable, 110+i, unreadable("i1", 110+i))
				r.advance(100 * time.Millisecond)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			r := newRig("n01", 3)
			feed(r)
			// The instance renews its entry with each heartbeat.
			r.advance(1200 * time.Millisecond)
			g.Expect(r.managed.Instances.Get("i1")).NotTo(gomega.BeNil())
			r.feedChanges(state.InstanceTable, 130, instanceRow("i1", 130))
			r.advance(2 * entryLifetime)
			g.Expect(r.managed.Instances.Get("i1")).NotTo(gomega.BeNil())
			g.Expect(r.managed.Departures).To(gomega.BeEmpty())
		})
	}
}

// TestOverwrittenEntryOfEndedInstance guards against an instance that has ended and stays in use
// because another writer keeps an entry under its ID.
func TestOverwrittenEntryOfEndedInstance(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig("n01", 3)
	for i := range uint64(entryLifetime / (200 * time.Millisecond)) {
		r.feedChanges(state.InstanceTable, 110+i, unreadable("i1", 110+i))
		r.advance(200 * time.Millisecond)
	}
	r.advance(2 * state.TickPeriod)
	g.Expect(r.managed.Instances.Get("i1")).To(gomega.BeNil())

	r = newRig("n01", 3)
	r.feedChanges(state.InstanceTable, 110, unreadable("i1", 110))
	r.feedChanges(state.InstanceTable, 111, removal("i1", 111))
	g.Expect(r.managed.Instances.Get("i1")).To(gomega.BeNil(), "the removal of the entry counts at once")

	r = newRig("n01", 3)
	r.feedChanges(state.InstanceTable, 40, unreadable("i1", 40))
	r.feedChanges(state.InstanceTable, 110, unreadable("i9", 110))
	r.advance(2 * entryLifetime)
	g.Expect(r.managed.Instances.Get("i1")).NotTo(gomega.BeNil(), "an older entry")
	g.Expect(r.managed.Instances.Get("i9")).To(gomega.BeNil())
	for _, output := range r.outputs {
		if logged, ok := output.(state.LogEvent); ok {
			g.Expect(logged.Event).NotTo(gomega.Equal(event.EntryOverwritten))
		}
	}
}
