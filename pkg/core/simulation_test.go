package core_test

import (
	"container/heap"
	"context"
	"fmt"
	"net/url"
	"path"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/admission"
	"github.com/apricotgrade/apricotgrade/pkg/core/claims"
	"github.com/apricotgrade/apricotgrade/pkg/core/retry"
	"github.com/apricotgrade/apricotgrade/pkg/core/routing"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/store/memory"
)

func TestRequestSystems(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	suite, _ := ginkgo.GinkgoConfiguration()
	// A fixed seed gives the same result on every run.
	suite.RandomSeed = 1
	ginkgo.RunSpecs(t, "request systems", suite)
}

// simulation runs the request systems of several nodes in virtual time against an
// in-memory table service and fake targets.
type simulation struct {
	now      time.Duration
	lastSeq  uint64
	schedule eventHeap
	nodes    []*fakeNode
	// withholdHealthReports stops the renewal of the health evidence of groups.
	withholdHealthReports bool

	targets map[state.TargetID]*fakeTarget
	store   *memory.Store
	// storeDown answers each store request with StoreUnavailable, which means that
	// it had no effect.
	storeDown bool
	// storeTimeout, if positive, drops each store request and reports StoreUnknown
	// after this time.
	storeTimeout time.Duration
	// repliesToLose is the number of transactions that take effect and whose reply
	// is lost.
	repliesToLose   int
	replies         map[state.RequestID]state.Reply
	repliedAt       map[state.RequestID]time.Duration
	lookupCount     int
	document        state.Document
	requestCount    int
	loadReportDelay time.Duration
	staleLoads      map[state.TargetID]int
	partitioned     bool
	// idempotencyKeys holds the key under which services see each request,
	// executionCounts the number of executions of each key, and executedRequests
	// the requests that a target executed.
	idempotencyKeys  map[state.RequestID]string
	executionCounts  map[string]int
	executedRequests map[state.RequestID]bool
	onOutcomeReply   func(state.OutcomeReply)
	onFetchLoad      func(state.TargetID)
}

type fakeNode struct {
	sim     *simulation
	tables  *state.Tables
	systems []state.System
	dead    bool
	// starts and cancels hold the attempts that the node started and cancelled, in
	// order.
	starts    []state.StartAttempt
	cancels   []state.CancelAttempt
	logEvents []state.LogEvent
}

type fakeTarget struct {
	id          state.TargetID
	incarnation state.Incarnation
	completed   int64
	running     int
	peakRunning int
	serviceTime time.Duration
	// injectFault returns the event that ends an attempt. The target serves the
	// attempt if injectFault is nil or returns nil.
	injectFault     func(state.StartAttempt) *state.AttemptEvent
	executions      map[string]int
	leaving         bool
	loadReportFails bool
}

func newSimulation(nodes int, switches state.Switches, doc state.Document) *simulation {
	sim := &simulation{
		targets: map[state.TargetID]*fakeTarget{}, store: memory.New(), document: doc, loadReportDelay: time.Millisecond,
		idempotencyKeys: map[state.RequestID]string{}, executionCounts: map[string]int{}, executedRequests: map[state.RequestID]bool{},
		replies: map[state.RequestID]state.Reply{}, repliedAt: map[state.RequestID]time.Duration{},
	}
	var registry []state.NodeEntry
	for i := range nodes {
		registry = append(registry, state.NodeEntry{ID: nodeID(i), DataCentre: "north", Incarnation: 1})
	}
	for _, g := range doc.Groups {
		sim.addTarget(state.TargetID(g.Name))
	}
	for _, svc := range doc.Services {
		for _, r := range svc.Replicas {
			sim.addTarget(state.TargetID(svc.Name + "/" + r.Name))
		}
	}
	for i := range nodes {
		sim.addNode(i, switches, registry)
	}
	sim.exchangeCounts()
	return sim
}

func nodeID(i int) state.NodeID { return state.NodeID(fmt.Sprintf("n%d", i+1)) }

func (sim *simulation) addTarget(id state.TargetID) {
	sim.targets[id] = &fakeTarget{id: id, incarnation: 1, serviceTime: 100 * time.Millisecond, executions: map[string]int{}}
}

func (sim *simulation) addNode(i int, switches state.Switches, registry []state.NodeEntry) {
	t := state.NewTables(state.Self{ID: nodeID(i), DataCentre: "north", Incarnation: 1}, switches, uint64(i+1))
	t.Config = state.Configuration{
		Head: state.Head{Version: 1, Preset: "ordinary", Nodes: registry, DocumentVersion: 1}, Document: sim.document,
		Loaded: true, Fresh: true, AcceptedVersion: 1,
	}
	router := routing.New(t)
	n := &fakeNode{sim: sim, tables: t, systems: []state.System{router, retry.New(t), claims.New(t), admission.New(t, router)}}
	for _, a := range sim.document.Accounts {
		t.Accounts.Put(a.Name, &state.Account{ID: a.Name, Weight: a.Weight, Concurrency: a.Concurrency})
	}
	for _, g := range sim.document.Groups {
		host := state.HostID("h-" + g.Name)
		t.Hosts.Put(host, &state.Host{ID: host, Address: "addr-" + string(g.Name), DataCentre: g.DataCentre, Group: g.Name})
		t.Groups.Put(g.Name, &state.Group{ID: g.Name, Members: []state.HostID{host}, Leader: host, Healthy: true, Phase: state.GroupServing})
	}
	for _, e := range registry {
		if e.ID != t.Self.ID {
			t.Peers.Put(e.ID, &state.Peer{ID: e.ID, DataCentre: e.DataCentre, Incarnation: 1, Linked: true})
		}
	}
	sim.nodes = append(sim.nodes, n)
	sim.scheduleAt(0, n.tick)
}

// exchangeCounts copies the counts in flight of each node to its peers every
// 250 ms, as the membership system does.
func (sim *simulation) exchangeCounts() {
	for _, n := range sim.nodes {
		for _, from := range sim.nodes {
			peer := n.tables.Peers.Get(from.tables.Self.ID)
			if peer == nil || from.dead || sim.partitioned {
				continue
			}
			peer.LastReplyAt, peer.Loads, peer.Usage = sim.now, nil, nil
			for id, target := range from.tables.Targets.All() {
				if target.InFlight > 0 {
					peer.Loads = append(peer.Loads, state.TargetCount{Target: id, Count: target.InFlight})
				}
			}
			for id, account := range from.tables.Accounts.All() {
				if account.InFlight > 0 {
					peer.Usage = append(peer.Usage, state.AccountValue{Account: id, Value: account.InFlight})
				}
			}
			n.tables.Peers.Touch(peer.ID)
		}
	}
	sim.scheduleAfter(250*time.Millisecond, sim.exchangeCounts)
}

func (n *fakeNode) tick() {
	if n.dead {
		return
	}
	for _, g := range n.tables.Groups.All() {
		if n.sim.withholdHealthReports {
			break
		}
		g.HealthyAt = n.sim.now
		n.tables.Groups.Touch(g.ID)
	}
	n.feed(state.Tick{})
	n.sim.scheduleAfter(state.TickPeriod, n.tick)
}

// feed passes an input to the systems of the node and performs their outputs.
func (n *fakeNode) feed(in state.Input) {
	if n.dead {
		return
	}
	var out state.Outbox
	for _, s := range n.systems {
		s.Step(n.sim.now, in, &out)
	}
	if reply, ok := in.(state.StoreReply); ok {
		n.tables.ForgetStoreRequest(reply.ID)
	}
	for _, o := range out.Outputs {
		n.perform(o)
	}
}

func (n *fakeNode) perform(out state.Output) {
	sim := n.sim
	switch out := out.(type) {
	case state.StoreRequest:
		sim.scheduleAfter(time.Millisecond, func() { sim.serveStore(n, out) })
	case state.SendPeer:
		sim.scheduleAfter(500*time.Microsecond, func() { sim.deliverPeerMessage(n, out) })
	case state.StartAttempt:
		n.starts = append(n.starts, out)
		sim.scheduleAfter(500*time.Microsecond, func() { sim.performAttempt(n, out) })
	case state.CancelAttempt:
		n.cancels = append(n.cancels, out)
		sim.scheduleAfter(time.Millisecond, func() {
			n.feed(state.AttemptEvent{
				Request: out.Request, Attempt: out.Attempt, Stage: state.AttemptEnded,
				Failure: state.FailureCancelled, Outcome: apierror.Unknown,
			})
		})
	case state.FetchLoad:
		if sim.onFetchLoad != nil {
			sim.onFetchLoad(out.Target)
		}
		sim.scheduleAfter(sim.loadReportDelay, func() { sim.answerLoadFetch(n, out) })
	case state.FetchLookup:
		sim.lookupCount++
		sim.scheduleAfter(time.Millisecond, func() { sim.answerLookup(n, out) })
	case state.Reply:
		if _, twice := sim.replies[out.Request]; twice {
			panic("two replies to " + string(out.Request))
		}
		sim.replies[out.Request], sim.repliedAt[out.Request] = out, sim.now
	case state.OutcomeReply:
		sim.onOutcomeReply(out)
	case state.LogEvent:
		n.logEvents = append(n.logEvents, out)
	}
}

func (sim *simulation) serveStore(n *fakeNode, req state.StoreRequest) {
	ctx := context.Background()
	reply := state.StoreReply{ID: req.ID}
	switch {
	case sim.storeTimeout > 0:
		sim.scheduleAfter(sim.storeTimeout, func() { n.feed(state.StoreReply{ID: req.ID, Result: state.StoreUnknown}) })
		return
	case sim.storeDown:
		reply.Result = state.StoreUnavailable
	case req.Transact != nil:
		result, _ := sim.store.Transact(ctx, *req.Transact)
		reply.Result, reply.Rows = result.Result, result.Rows
		if sim.repliesToLose > 0 {
			sim.repliesToLose--
			reply = state.StoreReply{ID: req.ID, Result: state.StoreUnknown}
		}
	case req.Read != nil:
		reply.Rows, _ = sim.store.Read(ctx, req.Read)
	case req.PutObject != nil:
		_ = sim.store.Put(ctx, req.PutObject.Key, req.PutObject.Value)
	case req.GetObject != "":
		reply.Object, _ = sim.store.Get(ctx, req.GetObject)
	}
	sim.scheduleAfter(time.Millisecond, func() { n.feed(reply) })
}

func (sim *simulation) deliverPeerMessage(from *fakeNode, out state.SendPeer) {
	for _, n := range sim.nodes {
		if n.tables.Self.ID == out.To && !from.dead && n.tables.Peers.Get(from.tables.Self.ID).Linked {
			n.feed(state.PeerMessage{From: from.tables.Self.ID, Message: out.Message})
		}
	}
}

func (sim *simulation) performAttempt(n *fakeNode, start state.StartAttempt) {
	target := sim.targets[start.Target]
	if target.injectFault != nil {
		if ev := target.injectFault(start); ev != nil {
			ev.Request, ev.Attempt, ev.Stage = start.Request, start.Attempt, state.AttemptEnded
			n.feed(*ev)
			return
		}
	}
	target.running++
	target.peakRunning = max(target.peakRunning, target.running)
	sim.recordExecution(target, start)
	sim.scheduleAfter(target.serviceTime, func() {
		target.running--
		target.completed++
		n.feed(state.AttemptEvent{
			Request: start.Request, Attempt: start.Attempt, Stage: state.AttemptEnded, Outcome: apierror.Done,
			Answer: &state.Answer{Status: 200, Body: []byte("answer of " + string(start.Request))},
		})
	})
}

// recordExecution records that a target executes a request.
func (sim *simulation) recordExecution(target *fakeTarget, start state.StartAttempt) {
	sim.executedRequests[start.Request] = true
	if key := sim.idempotencyKeys[start.Request]; key != "" {
		target.executions[key]++
		sim.executionCounts[key]++
	}
}

func (sim *simulation) answerLoadFetch(n *fakeNode, out state.FetchLoad) {
	target := sim.targets[out.Target]
	answer := state.LoadAnswer{
		Incarnation: target.incarnation, Completed: target.completed, Running: target.running, Leaving: target.leaving,
	}
	if running, ok := sim.staleLoads[out.Target]; ok {
		answer.Running = running
	}
	n.feed(state.LoadReport{Target: out.Target, SentAt: out.SentAt, OK: !target.loadReportFails, Answer: answer})
}

func (sim *simulation) answerLookup(n *fakeNode, out state.FetchLookup) {
	result := state.LookupResult{Account: out.Account, IdempotencyKey: out.IdempotencyKey, OK: true}
	key, _ := url.PathUnescape(path.Base(out.Path))
	for id, target := range sim.targets {
		if sim.serviceOf(id) == out.Service && target.executions[key] > 0 {
			result.Found, result.Answer = true, &state.Answer{Status: 200, Body: []byte("found")}
		}
	}
	n.feed(result)
}

func (sim *simulation) serviceOf(id state.TargetID) string {
	return sim.nodes[0].tables.Targets.Get(id).Service
}

// send feeds a request to a node and returns the request id.
func (sim *simulation) send(n *fakeNode, request state.RequestArrived) state.RequestID {
	if request.ID == "" {
		sim.requestCount++
		request.ID = state.RequestID(fmt.Sprintf("r%04d", sim.requestCount))
	}
	if request.Timeout == 0 {
		request.Timeout = 60 * time.Second
	}
	if request.IdempotencyKey != "" {
		sim.idempotencyKeys[request.ID] = state.ServiceIdempotencyKey(request.Account, request.IdempotencyKey)
	}
	n.feed(request)
	return request.ID
}

// kill stops a node: it no longer sends or receives anything.
func (sim *simulation) kill(n *fakeNode) {
	n.dead = true
	for _, other := range sim.nodes {
		if peer := other.tables.Peers.Get(n.tables.Self.ID); peer != nil {
			peer.Linked = false
		}
	}
}

func (sim *simulation) scheduleAt(at time.Duration, run func()) {
	sim.lastSeq++
	heap.Push(&sim.schedule, scheduledEvent{max(at, sim.now), sim.lastSeq, run})
}

func (sim *simulation) scheduleAfter(d time.Duration, run func()) { sim.scheduleAt(sim.now+d, run) }

// run advances the virtual time by d and runs the events that are due.
func (sim *simulation) run(d time.Duration) {
	end := sim.now + d
	for len(sim.schedule) > 0 && sim.schedule[0].at <= end {
		e := heap.Pop(&sim.schedule).(scheduledEvent)
		sim.now = e.at
		e.run()
	}
	sim.now = end
}

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
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}
