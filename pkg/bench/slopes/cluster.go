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
	// peerDelay is the one-way latency between nodes.
	peerDelay = 500 * time.Microsecond
	// storeDelay is the time of an operation of the table service.
	storeDelay = 5 * time.Millisecond
	// pingPeriod is the period of pings on a link, as pkg/peer has it.
	pingPeriod  = time.Second
	probeDelay  = time.Millisecond
	loadTime    = time.Second
	dataCentres = 7
	// domainHosts is the number of hosts of a fabric domain.
	domainHosts = 32
	// requestsPerNode is the rate of the design scale: 8,300 requests a second
	// over 320 nodes.
	requestsPerNode = 26
	// targetLimit leaves each of many nodes a share of a few targets. With less,
	// the slope over nodes would measure refusals.
	targetLimit = 1 << 16
	firstToken  = 300 * time.Millisecond
	requestTime = 2 * time.Second
)

// cluster is a set of nodes with the smallest fakes that let them work.
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
	list    []state.ListedHost
	doc     state.Document
	version state.Version
	// down is set while the platform does not answer.
	down bool
	// meter counts what the measured window costs.
	meter meter
}

type node struct {
	c       *cluster
	id      state.NodeID
	core    *core.Node
	arrived int
	// links are the other nodes with a smaller and with a greater id to which
	// this node keeps a link. The node with the smaller id dials.
	accepted, dialled int
}

type engine struct {
	answer state.ProbeAnswer
	load   state.LoadAnswer
}

// meter adds up the cost over all nodes.
type meter struct {
	// inNodes is the time in cores and codecs; all else is the cost of fakes.
	inNodes    time.Duration
	peerBytes  int64
	peerFrames int64
	// largestFrame is the greatest number of bytes in one frame.
	largestFrame int64
	reads        int64
	writes       int64
	tableBytes   int64
	hostLists    int64
	probes       int64
	loads        int64
}

type timed struct {
	at  time.Duration
	seq uint64
	do  func()
}

type eventHeap []timed

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].seq < h[j].seq)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(timed)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := len(old) - 1
	ev := old[last]
	old[last] = timed{}
	*h = old[:last]
	return ev
}

// newCluster declares a load. The nodes are not started yet.
func newCluster(l Load, seed uint64) (*cluster, error) {
	c := &cluster{
		load: l, store: memory.New(), rand: rand.New(rand.NewPCG(seed, 0)),
		byID: map[state.NodeID]*node{}, engines: map[state.HostID]*engine{}, targets: map[string]state.HostID{},
	}
	c.declare()
	head := state.Head{Version: 1, Op: "seed", Preset: "ordinary", DocumentVersion: 1}
	for i := range l.Nodes {
		id := state.NodeID(fmt.Sprintf("n%03d", i))
		head.Nodes = append(head.Nodes, state.NodeEntry{
			ID: id, DataCentre: centreName(i), Address: string(id), Incarnation: 1,
		})
	}
	if err := c.publish(head); err != nil {
		return nil, err
	}
	for i, e := range head.Nodes {
		n := &node{c: c, id: e.ID}
		self := state.Self{ID: e.ID, DataCentre: e.DataCentre, Address: e.Address, Incarnation: e.Incarnation}
		n.core = core.New(self, state.Switches{}, seed+uint64(i))
		c.nodes = append(c.nodes, n)
		c.byID[e.ID] = n
	}
	return c, nil
}

func centreName(i int) state.DataCentre {
	return state.DataCentre(fmt.Sprintf("dc%d", i%dataCentres))
}

// declare makes the document and the hosts: in each data centre, domains with
// room for its groups.
func (c *cluster) declare() {
	c.doc = state.Document{
		Models:  []state.ModelSpec{{Name: "m", WeightBytes: 1 << 30}},
		Presets: []state.PresetSpec{{Name: "ordinary"}},
	}
	for i := range c.load.Accounts {
		c.doc.Accounts = append(c.doc.Accounts, state.AccountSpec{Name: accountName(i), Weight: 1})
	}
	for i := range dataCentres {
		c.doc.DataCentres = append(c.doc.DataCentres, state.DataCentreSpec{Name: centreName(i)})
	}
	groups := make([]int, dataCentres)
	for i := range c.load.Replicas {
		groups[i%dataCentres]++
		c.doc.Groups = append(c.doc.Groups, state.GroupSpec{
			Name: state.GroupID(fmt.Sprintf("g%03d", i)), Model: "m", Members: c.load.Members,
			DataCentre: centreName(i), ColdLimit: targetLimit, WarmLimit: targetLimit,
		})
	}
	for i, count := range groups {
		perDomain := max(1, domainHosts/c.load.Members)
		domains := (count + perDomain - 1) / perDomain
		for d := range domains {
			c.addDomain(centreName(i), state.DomainID(fmt.Sprintf("%s-f%02d", centreName(i), d)))
		}
	}
	c.store.SetHosts(c.list)
}

func (c *cluster) addDomain(dc state.DataCentre, domain state.DomainID) {
	for i := range domainHosts {
		id := state.HostID(fmt.Sprintf("%s-h%02d", domain, i))
		c.list = append(c.list, state.ListedHost{ID: id, Address: string(id), DataCentre: dc, Domain: domain})
		c.engines[id] = &engine{
			answer: state.ProbeAnswer{Incarnation: 1, Phase: state.PhaseEmpty, ChecksFencingToken: true},
			load:   state.LoadAnswer{Incarnation: 1},
		}
	}
}

func accountName(i int) state.AccountID { return state.AccountID(fmt.Sprintf("a%03d", i)) }

// start lets the nodes run, with links between all of them.
func (c *cluster) start() {
	for i, n := range c.nodes {
		offset := time.Duration(i) * state.TickPeriod / time.Duration(len(c.nodes))
		c.after(offset, n.tick)
		c.after(offset+time.Second, n.arrive)
		for _, p := range c.nodes {
			if p != n {
				c.after(2*state.TickPeriod, func() { n.feed(state.PeerLinkChanged{Peer: p.id, Incarnation: 1, Up: true}) })
			}
		}
	}
	if c.load.ChangesPerDay > 0 {
		c.after(changePeriod(c.load), c.change)
	}
}

func changePeriod(l Load) time.Duration { return 24 * time.Hour / time.Duration(l.ChangesPerDay) }

// change puts a new document in force as a commit does.
func (c *cluster) change() {
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
	c.after(changePeriod(c.load), c.change)
}

// publish writes a head with the present document.
func (c *cluster) publish(head state.Head) error {
	c.version = head.Version
	_, err := c.store.Transact(context.Background(), state.Transaction{Writes: []state.Write{
		{Key: state.KeyHead, Value: state.Encode(head)},
		{Key: state.KeyDocument(head.DocumentVersion), Value: state.Encode(c.doc)},
	}})
	return errors.Wrap(err, "publish configuration")
}

func (c *cluster) after(d time.Duration, do func()) {
	c.seq++
	heap.Push(&c.events, timed{c.now + d, c.seq, do})
}

// run advances virtual time.
func (c *cluster) run(d time.Duration) {
	end := c.now + d
	for len(c.events) > 0 && c.events[0].at <= end {
		ev := heap.Pop(&c.events).(timed)
		c.now = ev.at
		ev.do()
	}
	c.now = end
}

// serving returns the number of groups that have loaded.
func (c *cluster) serving() int {
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

// inNode measures work that a node does itself.
func (c *cluster) inNode(f func()) {
	start := time.Now()
	f()
	c.meter.inNodes += time.Since(start)
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
