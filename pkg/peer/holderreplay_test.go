//go:build !race

// The race detector multiplies the processor time of a program.

package peer

import (
	"fmt"
	"testing"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// Sizes and rates of the replay of a hub that holds the formation lease.
const (
	replayDataCentres = 5
	replayDomainHosts = 37
	replayGroupSize   = 8
	replayTime        = 5 * time.Second
	// changesPerHost is how often the entry of a host changes in a second while groups form:
	// it joins, is ready and serves within 4 s.
	changesPerHost = 0.75
	// smallestCore is the part of a core that the smallest machine has.
	smallestCore = 0.192
)

// holderReplay drives the decision core of a hub, encodes what it sends, and measures the
// processor time of both.
type holderReplay struct {
	node           *core.Node
	now            time.Duration
	revision       uint64
	nodes, hosts   int
	steps, encodes time.Duration
	sent           int
	// links shares the frame of a message to several peers.
	links *Links
}

func replayNodeID(i int) state.NodeID {
	return state.NodeID(fmt.Sprintf("n-%d-%03d", i%replayDataCentres, i/replayDataCentres))
}

func replayDataCentre(i int) state.DataCentre {
	return state.DataCentre(fmt.Sprintf("dc%d", i%replayDataCentres))
}

func newHolderReplay(nodes, hosts int) *holderReplay {
	self := state.Self{ID: replayNodeID(0), DataCentre: replayDataCentre(0), Address: "10.0.0.1:1", Incarnation: 1, FirstStart: true}
	r := &holderReplay{node: core.NewManaged(self, 1), revision: 1, nodes: nodes, hosts: hosts, links: New(self, nil, nil)}
	engine := &state.EngineProfile{
		Slots: 22, MaxLoadsPerSecond: 40, MaxConcurrentLoads: 60, MaxStagedModels: 1, GroupOpenTime: 300 * time.Millisecond,
		Models: []state.ModelProfile{
			{Name: "large", GroupSize: 2 * replayGroupSize, InitialShare: 0.5, TimeFactor: 1, FullLoadTime: 16 * time.Second, StagedLoadTime: 1600 * time.Millisecond},
			{Name: "small", GroupSize: replayGroupSize, InitialShare: 0.5, TimeFactor: 0.6, FullLoadTime: 12 * time.Second, StagedLoadTime: 1100 * time.Millisecond},
		},
	}
	r.feedSnapshot(state.OperatorTable, []state.RowUpdate{{Key: "config", Revision: 1, PlatformConfig: &state.PlatformConfig{
		Version: 1, Services: []state.ServiceProfile{{Name: "pool", Engine: engine}},
	}}})
	var rows []state.RowUpdate
	for i := range nodes {
		r.revision++
		rows = append(rows, state.RowUpdate{Key: state.PrefixNode + string(replayNodeID(i)), Revision: r.revision, Node: &state.RegisteredNode{
			Revision: r.revision, Entry: state.NodeEntry{ID: replayNodeID(i), DataCentre: replayDataCentre(i), Address: "10.0.0.1:1", Incarnation: 1},
		}})
	}
	r.feedSnapshot(state.NodeTable, rows)
	rows = nil
	for h := range hosts {
		rows = append(rows, r.hostRow(h))
	}
	r.feedSnapshot(state.InstanceTable, rows)
	for _, peer := range r.peers() {
		r.step(state.PeerLinkChanged{Peer: peer, Incarnation: 1, Up: true})
	}
	return r
}

func (r *holderReplay) feedSnapshot(table state.TableKind, rows []state.RowUpdate) {
	r.step(state.TableUpdate{Table: table, Snapshot: true, Revision: r.revision, Rows: rows})
}

// hostRow returns a changed entry of a host.
func (r *holderReplay) hostRow(h int) state.RowUpdate {
	r.revision++
	id := state.HostID(fmt.Sprintf("i-%08d", h))
	return state.RowUpdate{Key: string(id), Revision: r.revision, Instance: &state.Instance{
		ID: id, Service: "pool", Address: fmt.Sprintf("10.1.%d.%d:80", h/200, h%200), DataCentre: replayDataCentre(h),
		Domain: state.DomainID(fmt.Sprintf("d%d", h/replayDomainHosts)), Slots: 22, StartID: 1, Revision: r.revision, LoadedModel: "small", StagedModels: []string{"large"},
		Membership: state.Membership{Group: state.GroupID(fmt.Sprintf("g%d", h/replayGroupSize)), Epoch: 1 << 16, Rank: h % replayGroupSize, Phase: state.MemberOpen},
	}}
}

// peers returns the nodes that are linked with the first one: all hubs and its leaves, or all
// nodes of a small installation.
func (r *holderReplay) peers() (peers []state.NodeID) {
	const hubsPerDataCentre = 3
	for i := 1; i < r.nodes; i++ {
		if r.nodes <= state.MaxFullMeshNodes || i/replayDataCentres < hubsPerDataCentre || i%replayDataCentres == 0 {
			peers = append(peers, replayNodeID(i))
		}
	}
	return peers
}

func (r *holderReplay) step(in state.Input) {
	start := time.Now()
	outputs := r.node.Step(r.now, in)
	r.steps += time.Since(start)
	for _, out := range outputs {
		switch out := out.(type) {
		case state.SendPeer:
			start := time.Now()
			if _, err := r.links.frameOf(out.Message).encode(); err != nil {
				panic(err)
			}
			r.encodes += time.Since(start)
			r.sent++
		case state.StoreRequest:
			r.grantLease(out)
		}
	}
}

// grantLease answers a write of the formation lease.
func (r *holderReplay) grantLease(request state.StoreRequest) {
	if request.Transact == nil || request.Transact.Writes[0].Key != state.KeyFormationLease {
		return
	}
	r.revision++
	r.step(state.StoreReply{ID: request.ID, Rows: []state.StoreRow{{Key: state.KeyFormationLease, Revision: r.revision, Value: request.Transact.Writes[0].Value}}})
}

// holdsLease reports whether the node may send orders to hosts.
func (r *holderReplay) holdsLease() bool {
	lease := r.node.Tables().Leases.Get(state.FormationLeaseName)
	return lease != nil && r.now < lease.ValidUntil
}

// run feeds the inputs of replayTime: ticks, statuses of all peers, and changes of hosts.
func (r *holderReplay) run() {
	peers := r.peers()
	r.steps, r.encodes, r.sent = 0, 0, 0
	changed := 0.0
	next := 0
	for end := r.now + replayTime; r.now < end; {
		r.now += state.TickPeriod
		r.step(state.Tick{})
		if r.now%state.PeerStatusPeriod == 0 {
			for i, peer := range peers {
				r.step(state.PeerMessage{From: peer, Message: state.Message{PeerStatus: r.status(i)}})
			}
		}
		var rows []state.RowUpdate
		for changed += changesPerHost * float64(r.hosts) * state.TickPeriod.Seconds(); changed >= 1; changed-- {
			rows = append(rows, r.hostRow(next))
			next = (next + 1) % r.hosts
		}
		r.step(state.TableUpdate{Table: state.InstanceTable, Revision: r.revision, Rows: rows, SentAt: r.now})
	}
}

func (r *holderReplay) status(peer int) *state.PeerStatus {
	status := &state.PeerStatus{StoreReplyAge: 100 * time.Millisecond, InstancesAge: 100 * time.Millisecond, TableRevisions: []uint64{1, r.revision, r.revision}}
	for i := range 10 {
		leader := (peer + i) * replayGroupSize % r.hosts
		status.Loads = append(status.Loads, state.TargetLoad{Target: state.HostID(fmt.Sprintf("i-%08d", leader)), Running: 3})
	}
	return status
}

// TestHolderFitsSmallestMachine replays a hub that holds the formation lease while groups form.
// It guards against control work that needs more than half of the smallest machine, without
// sockets and calls to hosts.
func TestHolderFitsSmallestMachine(t *testing.T) {
	for _, size := range []struct{ nodes, hosts int }{{6, 48}, {73, 174}, {150, 460}, {295, 925}} {
		r := newHolderReplay(size.nodes, size.hosts)
		// The first run acquires the lease.
		r.run()
		r.run()
		if !r.holdsLease() {
			t.Fatalf("%d nodes: the node does not hold the lease", size.nodes)
		}
		share := (r.steps + r.encodes).Seconds() / replayTime.Seconds()
		t.Logf("%d nodes, %d hosts: %.2f%% of a core for steps, %.2f%% for encoding, %d messages a second", size.nodes, size.hosts,
			100*r.steps.Seconds()/replayTime.Seconds(), 100*r.encodes.Seconds()/replayTime.Seconds(), r.sent/int(replayTime.Seconds()))
		if share > smallestCore/2 {
			t.Errorf("%d nodes, %d hosts: %.1f%% of a core", size.nodes, size.hosts, 100*share)
		}
	}
}
