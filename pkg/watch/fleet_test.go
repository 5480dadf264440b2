package watch_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/watch"
)

const (
	// storeLatency and linkLatency are the times of a call to the store and of a message
	// between nodes. dialTime is the time to bring up a link, and yieldTime how much
	// later the node with the higher ID dials (pkg/peer).
	storeLatency = 5 * time.Millisecond
	linkLatency  = time.Millisecond
	dialTime     = 5 * time.Millisecond
	yieldTime    = 500 * time.Millisecond
	// instancePeriod is the interval between two changes of the list of instances.
	instancePeriod = 25 * time.Millisecond
	fleetInstances = 60
)

// storedChange is a write or a removal of a row.
type storedChange struct {
	table state.TableKind
	key   string
	// revision is that of the change. value is nil for a removal.
	revision uint64
	value    any
}

// callCounts counts calls by table and reason.
type callCounts map[string]int

func (c callCounts) total() int {
	n := 0
	for _, count := range c {
		n += count
	}
	return n
}

// sum returns the sum of the counts whose names start with one of the prefixes.
func (c callCounts) sum(prefixes ...string) int {
	n := 0
	for name, count := range c {
		if slices.ContainsFunc(prefixes, func(p string) bool { return strings.HasPrefix(name, p) }) {
			n += count
		}
	}
	return n
}

func (c callCounts) String() string {
	var parts []string
	for _, name := range state.SortedKeys(c) {
		parts = append(parts, fmt.Sprintf("%s %d", name, c[name]))
	}
	return fmt.Sprintf("total %d: %s", c.total(), strings.Join(parts, ", "))
}

// fleetStore is a store that counts calls.
type fleetStore struct {
	mu       sync.Mutex
	changes  []storedChange
	revision uint64
	// oldest is the revision from which on changes are available.
	oldest uint64
	// changed is closed and replaced at each change.
	changed chan struct{}
	counts  callCounts
	callers map[state.NodeID]int
	failing bool
}

func newFleetStore() *fleetStore {
	return &fleetStore{revision: 1000, changed: make(chan struct{}), counts: callCounts{}, callers: map[state.NodeID]int{}}
}

var tableNames = map[state.TableKind]string{state.OperatorTable: "configuration", state.InstanceTable: "instances", state.NodeTable: "nodes"}

// count records a call. The caller holds s.mu.
func (s *fleetStore) count(caller state.NodeID, name string) {
	s.counts[name]++
	s.callers[caller]++
}

// takeCounts returns the counts since the last call.
func (s *fleetStore) takeCounts() callCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.counts
	s.counts, s.callers = callCounts{}, map[state.NodeID]int{}
	return counts
}

func (s *fleetStore) setFailing(failing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failing = failing
	s.notify()
}

func (s *fleetStore) put(table state.TableKind, key string, value any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.changes = append(s.changes, storedChange{table: table, key: key, revision: s.revision, value: value})
	s.notify()
}

// notify wakes the waiting calls. The caller holds s.mu.
func (s *fleetStore) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// current returns the last change of a key. The caller holds s.mu.
func (s *fleetStore) current(key string) storedChange {
	for _, c := range slices.Backward(s.changes) {
		if c.key == key {
			return c
		}
	}
	return storedChange{}
}

func (c storedChange) row() state.RowUpdate {
	row := state.RowUpdate{Key: c.key, Revision: c.revision, Removed: c.value == nil}
	switch value := c.value.(type) {
	case state.PlatformConfig:
		row.PlatformConfig = &value
	case state.Instance:
		value.Revision = c.revision
		row.Instance = &value
	case []byte:
		if c.key == state.KeyFormationLease {
			row.Lease = &state.LeaseRow{}
			_ = state.Decode(value, row.Lease)
			break
		}
		row.Node = &state.RegisteredNode{Revision: c.revision}
		_ = state.Decode(value, &row.Node.Entry)
	}
	return row
}

// transact applies a transaction and counts it by the key that it writes.
func (s *fleetStore) transact(caller state.NodeID, tx *state.Transaction) state.StoreReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count(caller, "write "+strings.SplitAfter(tx.Writes[0].Key, "/")[0])
	if s.failing {
		return state.StoreReply{Result: state.StoreUnavailable}
	}
	for _, condition := range tx.Conditions {
		if c := s.current(condition.Key); c.revision != condition.Revision && (c.value != nil || condition.Revision != 0) {
			reply := state.StoreReply{Result: state.StoreConflict}
			if value, ok := c.value.([]byte); ok {
				reply.Rows = []state.StoreRow{{Key: c.key, Revision: c.revision, Value: value}}
			}
			return reply
		}
	}
	s.revision++
	reply := state.StoreReply{Result: state.StoreOK}
	for _, w := range tx.Writes {
		c := storedChange{table: state.NodeTable, key: w.Key, revision: s.revision}
		if w.Value != nil {
			c.value = w.Value
		}
		s.changes = append(s.changes, c)
		reply.Rows = append(reply.Rows, state.StoreRow{Key: w.Key, Revision: s.revision, Value: w.Value})
	}
	s.notify()
	return reply
}

// nodeSource is the store as one node calls it.
type nodeSource struct {
	store *fleetStore
	node  state.NodeID
}

func (s nodeSource) Snapshot(ctx context.Context, table state.TableKind) (state.TableUpdate, error) {
	if ctx.Err() != nil {
		return state.TableUpdate{}, ctx.Err()
	}
	time.Sleep(storeLatency)
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	s.store.count(s.node, tableNames[table]+" whole")
	if s.store.failing {
		return state.TableUpdate{}, errDown
	}
	update := state.TableUpdate{Table: table, Snapshot: true, Revision: s.store.revision}
	seen := map[string]bool{}
	for _, c := range slices.Backward(s.store.changes) {
		if c.table == table && !seen[c.key] && c.value != nil {
			update.Rows = append(update.Rows, c.row())
		}
		seen[c.key] = true
	}
	return update, nil
}

func (s nodeSource) Changes(ctx context.Context, table state.TableKind, after uint64, wait time.Duration) (state.TableUpdate, error) {
	if ctx.Err() != nil {
		return state.TableUpdate{}, ctx.Err()
	}
	time.Sleep(storeLatency)
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		s.store.mu.Lock()
		update, changed := state.TableUpdate{Table: table, Revision: s.store.revision}, s.store.changed
		failing, truncated := s.store.failing, after < s.store.oldest || after > s.store.revision
		for _, c := range s.store.changes {
			if c.table == table && c.revision > after {
				update.Rows = append(update.Rows, c.row())
			}
		}
		s.store.mu.Unlock()
		switch {
		case failing:
			s.count(table, "failed")
			return state.TableUpdate{}, errDown
		case truncated:
			s.count(table, "gone")
			return state.TableUpdate{}, errHistoryTruncated
		case len(update.Rows) > 0:
			s.count(table, "changes")
			return update, nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			s.count(table, "no change")
			return update, nil
		case <-ctx.Done():
			s.count(table, "ended")
			return state.TableUpdate{}, ctx.Err()
		}
	}
}

func (s nodeSource) count(table state.TableKind, result string) {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	s.store.count(s.node, tableNames[table]+" "+result)
}

func (s nodeSource) IsHistoryTruncated(err error) bool { return errors.Is(err, errHistoryTruncated) }

// fleet is an installation of nodes with their real decision cores and watchers, in the
// virtual time of a synctest bubble.
type fleet struct {
	ctx   context.Context
	store *fleetStore
	mu    sync.Mutex
	nodes map[state.NodeID]*fleetNode
}

// fleetNode is one process.
type fleetNode struct {
	fleet     *fleet
	id        state.NodeID
	ctx       context.Context
	stop      context.CancelFunc
	startedAt time.Time
	watchers  []*watch.Watcher

	mu   sync.Mutex
	core *core.Node
	// peers are the nodes to which links are wanted, and links the open ones.
	peers map[state.NodeID]bool
	links map[state.NodeID]*fleetLink
	// encoded is the encoding of encodedRows, which are sent to several peers.
	encodedRows *state.TableUpdate
	encoded     []byte
}

// fleetLink is one direction of a link, which keeps the order of messages.
type fleetLink struct {
	to       *fleetNode
	messages chan timedMessage
}

// timedMessage is a message, or rows of a table, that arrive at a time.
type timedMessage struct {
	at          time.Time
	from        state.NodeID
	message     state.Message
	encodedRows []byte
}

// startNode starts a process. Each data centre has three large hosts.
func (f *fleet) startNode(i int, incarnation int, first bool) {
	id := state.NodeID(fmt.Sprintf("n%02d", i))
	share := 0.192
	if i%10 == 3 && i < 90 {
		share = 0.8
	}
	self := state.Self{
		ID: id, DataCentre: state.DataCentre([]string{"a", "b", "c"}[i%3]), Address: string(id),
		Incarnation: state.Incarnation(incarnation), FirstStart: first, ProcessorShare: share, //nolint:gosec // Small.
	}
	n := &fleetNode{
		fleet: f, id: id, startedAt: time.Now().Add(-time.Second), core: core.NewManaged(self, uint64(i)),
		peers: map[state.NodeID]bool{}, links: map[state.NodeID]*fleetLink{},
	}
	n.ctx, n.stop = context.WithCancel(f.ctx)
	f.mu.Lock()
	f.nodes[id] = n
	f.mu.Unlock()
	for table := range state.NodeTable + 1 {
		w := watch.New(table, nodeSource{f.store, id}, n, slog.New(slog.DiscardHandler))
		n.watchers = append(n.watchers, w)
	}
	for _, w := range n.watchers {
		go w.Run(n.ctx)
	}
	go func() {
		ticker := time.NewTicker(state.TickPeriod)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				n.Feed(state.Tick{})
			case <-n.ctx.Done():
				return
			}
		}
	}()
}

// endNode ends a process without a shutdown.
func (f *fleet) endNode(id state.NodeID) {
	n := f.node(id)
	n.stop()
	f.mu.Lock()
	delete(f.nodes, id)
	f.mu.Unlock()
	n.mu.Lock()
	links := n.links
	n.links = map[state.NodeID]*fleetLink{}
	n.mu.Unlock()
	for _, l := range links {
		l.to.closeLink(id)
	}
}

// endAll ends all processes at the same moment.
func (f *fleet) endAll() {
	for _, id := range f.ids() {
		f.node(id).stop()
	}
	f.mu.Lock()
	f.nodes = map[state.NodeID]*fleetNode{}
	f.mu.Unlock()
	f.store.takeCounts()
}

func (f *fleet) node(id state.NodeID) *fleetNode {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[id]
}

func (f *fleet) ids() []state.NodeID {
	f.mu.Lock()
	defer f.mu.Unlock()
	return state.SortedKeys(f.nodes)
}

// Now implements watch.Sink.
func (n *fleetNode) Now() time.Duration { return time.Since(n.startedAt) }

// Feed implements watch.Sink.
func (n *fleetNode) Feed(in state.Input) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ctx.Err() != nil {
		return
	}
	for _, out := range n.core.Step(n.Now(), in) {
		n.perform(out)
	}
}

// perform carries out an output of the core. The caller holds n.mu.
func (n *fleetNode) perform(out state.Output) {
	switch out := out.(type) {
	case state.WatchTables:
		for _, w := range n.watchers {
			w.Configure(out)
		}
	case state.StoreRequest:
		go func() {
			time.Sleep(storeLatency)
			reply := n.fleet.store.transact(n.id, out.Transact)
			reply.ID = out.ID
			n.Feed(reply)
		}()
	case state.SendPeer:
		l := n.links[out.To]
		switch rows := out.Message.TableUpdate; {
		case l == nil:
		case rows != nil:
			if n.encodedRows != rows {
				n.encodedRows, n.encoded = rows, state.Encode(rows)
			}
			l.send(n.id, timedMessage{encodedRows: n.encoded})
		default:
			l.send(n.id, timedMessage{message: out.Message})
		}
	case state.SetPeers:
		n.setPeers(out)
	}
}

func (l *fleetLink) send(from state.NodeID, m timedMessage) {
	m.from, m.at = from, time.Now().Add(linkLatency)
	select {
	case l.messages <- m:
	default:
	}
}

// input returns a message as the receiver decodes it. Cores change their rows, so that they
// must not share them.
func (m timedMessage) input() state.Input {
	if m.encodedRows != nil {
		m.message.TableUpdate = &state.TableUpdate{}
		if err := state.Decode(m.encodedRows, m.message.TableUpdate); err != nil {
			panic(err)
		}
	}
	return state.PeerMessage{From: m.from, Message: m.message}
}

func (n *fleetNode) setPeers(set state.SetPeers) {
	peers := map[state.NodeID]bool{}
	for _, p := range set.Peers {
		peers[p.ID] = true
		if n.peers[p.ID] {
			continue
		}
		wait := dialTime
		if !set.DialAtOnce && p.ID < n.id {
			wait += yieldTime
		}
		go n.dial(p.ID, wait)
	}
	for id := range n.peers {
		if l := n.links[id]; l != nil && !peers[id] {
			go n.closeLink(id)
			go l.to.closeLink(n.id)
		}
	}
	n.peers = peers
}

// dial brings up a link for as long as it is wanted.
func (n *fleetNode) dial(to state.NodeID, wait time.Duration) {
	for {
		time.Sleep(wait)
		wait = 100 * time.Millisecond
		n.mu.Lock()
		wanted, linked := n.peers[to] && n.ctx.Err() == nil, n.links[to] != nil
		n.mu.Unlock()
		if !wanted {
			return
		}
		if peer := n.fleet.node(to); peer != nil && !linked {
			n.openLink(peer)
			peer.openLink(n)
		}
	}
}

func (n *fleetNode) openLink(peer *fleetNode) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.links[peer.id] != nil || n.ctx.Err() != nil {
		return
	}
	l := &fleetLink{to: peer, messages: make(chan timedMessage, 1024)}
	n.links[peer.id] = l
	go func() {
		for {
			select {
			case m := <-l.messages:
				time.Sleep(time.Until(m.at))
				peer.Feed(m.input())
			case <-n.ctx.Done():
				return
			case <-peer.ctx.Done():
				return
			}
		}
	}()
	for _, out := range n.core.Step(n.Now(), state.PeerLinkChanged{Peer: peer.id, Up: true}) {
		n.perform(out)
	}
}

func (n *fleetNode) closeLink(id state.NodeID) {
	n.mu.Lock()
	_, linked := n.links[id]
	delete(n.links, id)
	n.mu.Unlock()
	if linked {
		n.Feed(state.PeerLinkChanged{Peer: id})
	}
}

// newFleet starts the nodes of an installation within 0.3 s.
func newFleet(ctx context.Context, nodes int) *fleet {
	f := &fleet{ctx: ctx, store: newFleetStore(), nodes: map[state.NodeID]*fleetNode{}}
	f.store.put(state.OperatorTable, "config", state.PlatformConfig{Version: 1, Services: []state.ServiceProfile{{Name: "orders"}}})
	for i := range fleetInstances {
		f.writeInstance(i)
	}
	go func() {
		for i := 0; ctx.Err() == nil; i++ {
			time.Sleep(instancePeriod)
			f.writeInstance(i % fleetInstances)
		}
	}()
	f.startAll(nodes, 1)
	return f
}

func (f *fleet) startAll(nodes, incarnation int) {
	for i := range nodes {
		f.startNode(i, incarnation, incarnation == 1)
		time.Sleep(300 * time.Millisecond / time.Duration(nodes))
	}
}

func (f *fleet) writeInstance(i int) {
	id := fmt.Sprintf("i%02d", i)
	f.store.put(state.InstanceTable, id, state.Instance{
		ID: state.HostID(id), Service: "orders", Address: fmt.Sprintf("10.0.0.%d:80", i), DataCentre: "a", Slots: 1, StartID: 1,
	})
}

// phase runs the fleet for a time and returns the calls by table and reason.
func (f *fleet) phase(t *testing.T, name string, duration time.Duration) callCounts {
	time.Sleep(duration)
	f.store.mu.Lock()
	callers := len(f.store.callers)
	f.store.mu.Unlock()
	counts := f.store.takeCounts()
	t.Logf("%s: %d callers, %s", name, callers, counts)
	return counts
}
