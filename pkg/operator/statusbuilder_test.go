package operator

import (
	"fmt"
	"testing"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// BenchmarkBuildStatus measures the part of a status query that runs inside the
// event loop, at the design scale of 320 nodes and 600 groups of 8 hosts.
func BenchmarkBuildStatus(b *testing.B) {
	t := state.NewTables(state.Self{ID: "n1"}, state.Switches{}, 1)
	t.Config.Loaded = true
	for i := range 320 {
		id := state.NodeID(fmt.Sprintf("n%03d", i))
		t.Config.Head.Nodes = append(t.Config.Head.Nodes, state.NodeEntry{ID: id})
		t.Peers.Put(id, &state.Peer{ID: id})
	}
	for i := range 600 {
		id := state.GroupID(fmt.Sprintf("g%03d", i))
		group := &state.Group{ID: id, Phase: state.GroupServing}
		for j := range 8 {
			host := state.HostID(fmt.Sprintf("h%03d-%d", i, j))
			group.Members = append(group.Members, host)
			t.Hosts.Put(host, &state.Host{ID: host, Listed: true, Group: id})
		}
		t.Groups.Put(id, group)
		t.Targets.Put(state.TargetID(id), &state.Target{ID: state.TargetID(id)})
		t.Config.Document.Groups = append(t.Config.Document.Groups, state.GroupSpec{Name: id})
	}
	b.ReportAllocs()
	for b.Loop() {
		buildStatus(t, time.Second)
	}
}
