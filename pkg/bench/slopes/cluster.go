package slopes

import (
	"container/heap"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/apricotgrade/apricotgrade/pkg/core"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/store/memory"
)

const (
	// peerLatency is the one-way latency between nodes.
	peerLatency = 500 * time.Microsecond
	// storeLatency is the duration of an operation of the table service and of a
	// read of the host list.
	storeLatency = 5 * time.Millisecond
	// pingPeriod is the period of pings on a link, as in pkg/peer.
	pingPeriod = time.Second
	// probeDelay is the duration of a probe, a load query or an engine order.
	probeDelay = time.Millisecond
	// loadTime is the time that an engine takes to load a model.
	loadTime    = time.Second
	dataCentres = 7
	// hostsPerDomain is the number of hosts in a fabric domain.
	hostsPerDomain = 32
	// requestRatePerNode is the rate of the design scale in requests per second:
	// 8,300 requests a second over 320 nodes.
	requestRatePerNode = 26
	// targetLimit is high enough that each of many nodes gets a share of a few
	// targets. With a lower limit the sweep over nodes would measure refusals.
	targetLimit = 1 << 16
	// firstTokenDelay and requestDuration start at the start of an attempt.
	firstTokenDelay = 300 * time.Millisecond
	requestDuration = 2 * time.Second
)

// cluster simulates nodes in virtual time with the smallest fakes that they need
// to work.
type cluster struct {
	load    Load
	now     time.Duration
	seq     uint64
	events  eventHeap
	rand    *rand.Rand
	store   *memory.Store
	nodes   []*node
	byID    map[state.NodeID]*node
	engines map[state.HostID]*engine
	targets map[string]state.HostID
	hosts   []state.ListedHost
	doc     state.Document
	version state.Version
	// platformDown is true while the platform does not answer.
	platformDown bool
	// meter counts the cost of the measured window.
	meter meter
}

// node is a simulated node: a real decision core with fake I/O.
type node struct {
	cluster      *cluster
	id           state.NodeID
	core         *core.Node
	requestCount int
	// acceptedLinks and dialledLinks are the numbers of links to nodes with a
	// smaller and with a greater ID. The node with the smaller ID dials.
	acceptedLinks, dialledLinks int
}

// engine is a fake engine: the answers that it gives to probes and load queries.
type engine struct {
	probeAnswer state.ProbeAnswer
	loadAnswer  state.LoadAnswer
}

// meter sums the cost over all nodes.
type meter struct {
	// nodeTime is the wall time spent in decision cores and codecs. The remaining
	// time is spent in the fakes.
	nodeTime   time.Duration
	peerBytes  int64
	peerFrames int64
	// largestFrame is the size of the largest frame in bytes.
	largestFrame int64
	reads        int64
	writes       int64
	tableBytes   int64
	hostLists    int64
	probes       int64
	loads        int64
}

// scheduledEvent is a function that runs at a virtual time. Events of the same
// time run in the order of seq.
type scheduledEvent struct {
	at  time.Duration
	seq uint64
	run func()
}

type eventHeap []scheduledEvent

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].seq < h[j].seq)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(scheduledEvent)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := len(old) - 1
	ev := old[last]
	old[last] = scheduledEvent{}
	*h = old[:last]
	return ev
}

// newCluster returns a cluster for a load. Its nodes are not started yet.
func newCluster(l Load, seed uint64) (*cluster, error) {
	c := &cluster{
		load: l, store: memory.New(), rand: rand.New(rand.NewPCG(seed, 0)),
		byID: map[state.NodeID]*node{}, engines: map[state.HostID]*engine{}, targets: map[string]state.HostID{},
	}
	c.buildDeclarations()
	head := state.Head{Version: 1, Op: "seed", Preset: "ordinary", DocumentVersion: 1}
	for i := range l.Nodes {
		id := state.NodeID(fmt.Sprintf("n%03d", i))
		head.Nodes = append(head.Nodes, state.NodeEntry{
			ID: id, DataCentre: dataCentreName(i), Address: string(id), Incarnation: 1,
		})
	}
	if err := c.publish(head); err != nil {
		return nil, err
	}
	for i, e := range head.Nodes {
		n := &node{cluster: c, id: e.ID}
		self := state.Self{ID: e.ID, DataCentre: e.DataCentre, Address: e.Address, Incarnation: e.Incarnation}
		n.core = core.New(self, state.Switches{}, seed+uint64(i))
		c.nodes = append(c.nodes, n)
		c.byID[e.ID] = n
	}
	return c, nil
}

func dataCentreName(i int) state.DataCentre {
	return state.DataCentre(fmt.Sprintf("dc%d", i%dataCentres))
}

// buildDeclarations builds the document and the host list. Each data centre gets
// enough fabric domains for its replica groups.
func (c *cluster) buildDeclarations() {
	c.doc = state.Document{
		Models:  []state.ModelSpec{{Name: "m", WeightBytes: 1 << 30}},
		Presets: []state.PresetSpec{{Name: "ordinary"}},
	}
	for i := range c.load.Accounts {
		c.doc.Accounts = append(c.doc.Accounts, state.AccountSpec{Name: accountName(i), Weight: 1})
	}
	for i := range dataCentres {
		c.doc.DataCentres = append(c.doc.DataCentres, state.DataCentreSpec{Name: dataCentreName(i)})
	}
	groupsPerDataCentre := make([]int, dataCentres)
	for i := range c.load.Replicas {
		groupsPerDataCentre[i%dataCentres]++
		c.doc.Groups = append(c.doc.Groups, state.GroupSpec{
			Name: state.GroupID(fmt.Sprintf("g%03d", i)), Model: "m", Members: c.load.Members,
			DataCentre: dataCentreName(i), ColdLimit: targetLimit, WarmLimit: targetLimit,
		})
	}
	for i, groupCount := range groupsPerDataCentre {
		groupsPerDomain := max(1, hostsPerDomain/c.load.Members)
		domains := (groupCount + groupsPerDomain - 1) / groupsPerDomain
		for d := range domains {
			c.addDomain(dataCentreName(i), state.DomainID(fmt.Sprintf("%s-f%02d", dataCentreName(i), d)))
		}
	}
	c.store.SetHosts(c.hosts)
}

func (c *cluster) addDomain(dc state.DataCentre, domain state.DomainID) {
	for i := range hostsPerDomain {
		id := state.HostID(fmt.Sprintf("%s-h%02d", domain, i))
		c.hosts = append(c.hosts, state.ListedHost{ID: id, Address: string(id), DataCentre: dc, Domain: domain})
		c.engines[id] = &engine{
			probeAnswer: state.ProbeAnswer{Incarnation: 1, Phase: state.PhaseEmpty, ChecksFencingToken: true},
			loadAnswer:  state.LoadAnswer{Incarnation: 1},
		}
	}
}

func accountName(i int) state.AccountID { return state.AccountID(fmt.Sprintf("a%03d", i)) }

// start schedules the ticks and requests of the nodes, with links between all
// pairs of nodes. The nodes start at evenly spread offsets within a tick.
func (c *cluster) start() {
	for i, n := range c.nodes {
		offset := time.Duration(i) * state.TickPeriod / time.Duration(len(c.nodes))
		c.scheduleAfter(offset, n.tick)
		c.scheduleAfter(offset+time.Second, n.injectRequest)
		for _, peer := range c.nodes {
			if peer != n {
				c.scheduleAfter(2*state.TickPeriod, func() { n.feed(state.PeerLinkChanged{Peer: peer.id, Incarnation: 1, Up: true}) })
			}
		}
	}
	if c.load.ChangesPerDay > 0 {
		c.scheduleAfter(changePeriod(c.load), c.changeConfiguration)
	}
}

func changePeriod(l Load) time.Duration { return 24 * time.Hour / time.Duration(l.ChangesPerDay) }

// changeConfiguration publishes a changed document in the same way as a commit
// and schedules the next change.
func (c *cluster) changeConfiguration() {
	c.doc.Accounts[0].Weight = 1 + int(c.version)%8
	rows, err := c.store.Read(context.Background(), []string{state.KeyHead})
	if err == nil && len(rows) == 1 {
		var head state.Head
		if state.Decode(rows[0].Value, &head) == nil {
			head.Version++
			head.DocumentVersion, head.Op = head.Version, state.OpID(fmt.Sprintf("change-%d", head.Version))
			_ = c.publish(head)
		}
	}
	c.scheduleAfter(changePeriod(c.load), c.changeConfiguration)
}

// publish writes a head and the current document.
func (c *cluster) publish(head state.Head) error {
	c.version = head.Version
	_, err := c.store.Transact(context.Background(), state.Transaction{Writes: []state.Write{
		{Key: state.KeyHead, Value: state.Encode(head)},
		{Key: state.KeyDocument(head.DocumentVersion), Value: state.Encode(c.doc)},
	}})
	return errors.Wrap(err, "publish configuration")
}

// scheduleAfter schedules a function in virtual time.
func (c *cluster) scheduleAfter(d time.Duration, run func()) {
	c.seq++
	heap.Push(&c.events, scheduledEvent{c.now + d, c.seq, run})
}

// run runs all events that are due within a duration and advances virtual
// time by it.
func (c *cluster) run(d time.Duration) {
	end := c.now + d
	for len(c.events) > 0 && c.events[0].at <= end {
		ev := heap.Pop(&c.events).(scheduledEvent)
		c.now = ev.at
		ev.run()
	}
	c.now = end
}

// servingGroups returns the number of loaded replica groups.
func (c *cluster) servingGroups() int {
	rows, _ := c.store.Scan(context.Background(), state.PrefixGroup)
	count := 0
	for _, row := range rows {
		var g state.GroupRow
		if state.Decode(row.Value, &g) == nil && g.Phase == state.GroupServing {
			count++
		}
	}
	return count
}

// measureNodeTime adds the duration of work that a real node would do as well.
func (c *cluster) measureNodeTime(work func()) {
	start := time.Now()
	work()
	c.meter.nodeTime += time.Since(start)
}

func encodeJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(errors.Wrap(err, "encode platform message"))
	}
	return b
}

func encodeFrame(m state.Message) []byte {
	b, err := cbor.Marshal(m)
	if err != nil {
		panic(errors.Wrap(err, "encode peer message"))
	}
	return b
}
