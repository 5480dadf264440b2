package formation

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/core/inventory"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// fakeHost is a host that follows orders as the platform specifies.
type fakeHost struct {
	row      state.Instance
	sequence uint64
	// fencingToken is the highest one of the orders that the host has accepted.
	fencingToken state.FencingToken
	// An unresponsive host does not answer. A refusing host has no listener.
	unresponsive, refusing bool
	// A busy leader has work that it does not finish before it is cut off.
	busy bool
	// joinUntil and openUntil are the ends of a join and of an open in progress.
	joinUntil, openUntil time.Duration
	staging              string
	stageUntil           time.Duration
	listed               bool
	// ordersToDelay is the number of orders that take effect late and are not
	// answered.
	ordersToDelay int
	lateOrders    []lateOrder
	// history holds the memberships of the host in order of time.
	history []pastMembership
}

type pastMembership struct {
	since   time.Duration
	startID int64
	state.Membership
}

// wasLostReady reports whether the host was ready in a group until its process ended.
func (h *fakeHost) wasLostReady(group state.GroupID, epoch uint64) bool {
	return slices.ContainsFunc(h.history, func(m pastMembership) bool {
		return m.startID != h.row.StartID && m.Group == group && m.Epoch == epoch && m.Phase == state.MemberReady
	})
}

// membershipAt returns the membership at a time.
func (h *fakeHost) membershipAt(at time.Duration) state.Membership {
	for i := len(h.history) - 1; i >= 0; i-- {
		if h.history[i].since <= at {
			return h.history[i].Membership
		}
	}
	return state.Membership{}
}

// waitingReport is a probe that waits for a silent host.
type waitingReport struct {
	until time.Duration
	probe state.FetchHostReport
}

type lateOrder struct {
	at    time.Duration
	order state.HostOrder
}

// rig runs the formation system of one node with fake hosts and a fake lease
// row.
type rig struct {
	t      *testing.T
	tables *state.Tables
	system *System
	now    time.Duration
	hosts  map[state.HostID]*fakeHost
	engine *state.EngineProfile
	// leaseValue is the stored lease row.
	leaseValue []byte
	revision   uint64
	orders     []state.HostOrder
	reports    int
	inputs     []state.Input
	messages   []state.SendPeer
	// listStale stops updates of the list of instances.
	listStale bool
	// reportLag is the age of the state in reports.
	reportLag time.Duration
	// reportTimeout is how long a probe waits for a silent host, which has accepted the
	// connection. A host that goes on before answers it. With 0 an unresponsive host
	// accepts no connection.
	reportTimeout  time.Duration
	waitingReports []waitingReport
	// inventory, if set, receives each input before the formation system, as in a
	// node.
	inventory *inventory.System
	// outage makes the store answer no call.
	outage, wasOutage bool
	// orderDelay, if set, returns how late an order takes effect, without an answer. Orders
	// with 0 are answered at once.
	orderDelay func(state.HostOrder) time.Duration
	// violations holds the violated invariants of hosts and groups.
	violations []string
	// observe, if set, receives the processor time of each step.
	observe func(in state.Input, elapsed time.Duration)
}

const (
	large = "large"
	small = "small"
	// domainCount is the number of fabric domains, of eight hosts each.
	domainCount = 6
)

func newRig(t *testing.T) *rig { return newSizedRig(t, domainCount, 8, 4, 2) }

// newSizedRig returns a rig with domains of hostsPerDomain hosts and with models whose groups
// have largeSize and smallSize members.
func newSizedRig(t *testing.T, domains, hostsPerDomain, largeSize, smallSize int) *rig {
	tables := state.NewTables(state.Self{ID: "n1", DataCentre: "a", Incarnation: 1}, state.Switches{}, 1)
	tables.Managed = state.NewManagedState()
	r := &rig{t: t, tables: tables, system: New(tables), hosts: map[state.HostID]*fakeHost{}}
	r.engine = &state.EngineProfile{
		Slots: 26, StepsPerPass: 5, MaxLoadsPerSecond: 4, MaxConcurrentLoads: 6, MaxStagedModels: 1, GroupOpenTime: 300 * time.Millisecond,
		Models: []state.ModelProfile{
			{Name: large, GroupSize: largeSize, InitialShare: 0.67, TimeFactor: 1, FullLoadTime: 16 * time.Second, StagedLoadTime: 1600 * time.Millisecond},
			{Name: small, GroupSize: smallSize, InitialShare: 0.33, TimeFactor: 0.6, FullLoadTime: 12 * time.Second, StagedLoadTime: 1100 * time.Millisecond},
		},
	}
	tables.Managed.PlatformConfig = &state.PlatformConfig{Version: 1, Services: []state.ServiceProfile{{Name: "pool", Engine: r.engine}}}
	tables.Config.Fresh, tables.Config.Loaded = true, true
	tables.Managed.WatchesStore = true
	for d := range domains {
		for i := range hostsPerDomain {
			r.addHost(state.HostID(fmt.Sprintf("h%d-%d", d, i)), state.DomainID(fmt.Sprintf("d%d", d)))
		}
	}
	tables.Managed.Tables[state.NodeTable].Loaded = true
	tables.Managed.Tables[state.InstanceTable].Loaded = true
	return r
}

func (r *rig) addHost(id state.HostID, domain state.DomainID) {
	h := &fakeHost{listed: true, row: state.Instance{
		ID: id, Service: "pool", Address: string(id), DataCentre: "a", Domain: domain, Slots: 26, StartID: 1,
	}}
	r.hosts[id] = h
	r.publish(h)
}

// publish writes the row of a host to the list of instances.
func (r *rig) publish(h *fakeHost) {
	r.revision++
	h.history = append(h.history, pastMembership{r.now, h.row.StartID, h.row.Membership})
	if r.outage {
		return
	}
	if !h.listed {
		r.tables.Managed.Instances.Delete(h.row.ID)
	} else {
		row := h.row
		row.Revision, row.RevisionSeenAt = r.revision, r.now
		row.StagedModels = slices.Clone(h.row.StagedModels)
		r.tables.Managed.Instances.Put(row.ID, &row)
	}
	r.tables.Managed.TargetInputsVersion++
	r.inputs = append(r.inputs, state.TableUpdate{Table: state.InstanceTable})
}

// run advances the time in ticks.
func (r *rig) run(d time.Duration) {
	for end := r.now + d; r.now < end; {
		r.now += state.TickPeriod
		for _, id := range state.SortedKeys(r.hosts) {
			r.advanceHost(r.hosts[id])
		}
		if r.outage {
			r.tables.Managed.Tables[state.InstanceTable].FailedAt = r.now
		} else if !r.listStale {
			r.tables.Managed.Tables[state.InstanceTable].AnsweredAt = r.now
		}
		if r.wasOutage && !r.outage {
			r.tables.Managed.StoreRecoveredAt = r.now
		}
		r.wasOutage = r.outage
		r.answerWaitingReports()
		r.inputs = append(r.inputs, state.Tick{})
		for len(r.inputs) > 0 {
			in := r.inputs[0]
			r.inputs = r.inputs[1:]
			var out state.Outbox
			if r.inventory != nil {
				r.inventory.Step(r.now, in, &state.Outbox{})
			}
			start := time.Now()
			r.system.Step(r.now, in, &out)
			if r.observe != nil {
				r.observe(in, time.Since(start))
			}
			for _, o := range out.Outputs {
				r.handleOutput(o)
			}
			if reply, ok := in.(state.StoreReply); ok {
				r.tables.ForgetStoreRequest(reply.ID)
			}
		}
	}
}

func (r *rig) handleOutput(out state.Output) {
	switch out := out.(type) {
	case state.StoreRequest:
		r.transact(out)
	case state.FetchHostReport:
		r.handleReport(out)
	case state.HostOrder:
		r.handleOrder(out)
	case state.SendPeer:
		r.messages = append(r.messages, out)
	}
}

func (r *rig) transact(req state.StoreRequest) {
	if r.outage {
		return
	}
	reply := state.StoreReply{ID: req.ID}
	m := r.tables.Managed
	if conditions := req.Transact.Conditions; len(conditions) == 1 && conditions[0].Revision != m.Lease.Revision {
		reply.Result = state.StoreConflict
		reply.Rows = []state.StoreRow{{Key: state.KeyFormationLease, Revision: m.Lease.Revision, Value: r.leaseValue}}
	} else {
		r.revision++
		r.leaseValue = req.Transact.Writes[0].Value
		var row state.LeaseRow
		gomega.NewWithT(r.t).Expect(state.Decode(r.leaseValue, &row)).To(gomega.Succeed())
		m.Lease = state.FormationLease{Row: row, Revision: r.revision, RenewalSeenAt: r.now}
		reply.Rows = []state.StoreRow{{Key: state.KeyFormationLease, Revision: r.revision, Value: r.leaseValue}}
	}
	r.inputs = append(r.inputs, reply)
}

func (r *rig) handleReport(in state.FetchHostReport) {
	r.reports++
	if h := r.hosts[in.Host]; h != nil && h.unresponsive && !h.refusing && r.reportTimeout > 0 {
		r.waitingReports = append(r.waitingReports, waitingReport{r.now + r.reportTimeout, in})
		return
	}
	r.answerReport(in)
}

// answerWaitingReports answers the probes whose host has gone on or whose time is over.
func (r *rig) answerWaitingReports() {
	r.waitingReports = slices.DeleteFunc(r.waitingReports, func(w waitingReport) bool {
		if r.now < w.until && r.hosts[w.probe.Host].unresponsive {
			return false
		}
		r.answerReport(w.probe)
		return true
	})
}

func (r *rig) answerReport(in state.FetchHostReport) {
	h := r.hosts[in.Host]
	out := state.HostReport{Host: in.Host, SentAt: in.SentAt}
	switch {
	case h == nil || h.refusing:
		out.ConnectionRefused = true
	case h.unresponsive:
		out.Silent = r.reportTimeout > 0
	default:
		out.OK, out.Sequence = true, h.sequence
		out.State = state.HostState{
			Host: in.Host, StartID: h.row.StartID, LoadedModel: h.row.LoadedModel, StagedModels: h.row.StagedModels, Membership: h.membershipAt(r.now - r.reportLag),
		}
	}
	r.inputs = append(r.inputs, out)
}

func (r *rig) handleOrder(order state.HostOrder) {
	h := r.hosts[order.Host]
	r.orders = append(r.orders, order)
	result := state.HostOrderResult{ID: order.ID, Host: order.Host, Outcome: state.OrderAccepted}
	switch {
	case h == nil || h.refusing || h.unresponsive:
		result.Outcome = state.OrderNotSent
	case h.ordersToDelay > 0:
		h.ordersToDelay--
		h.delayOrder(r.now+3*time.Second, order)
		result.Outcome = state.OrderUnknown
	default:
		if r.orderDelay != nil {
			if delay := r.orderDelay(order); delay > 0 {
				h.delayOrder(r.now+delay, order)
				result.Outcome = state.OrderUnknown
				break
			}
		}
		result.Outcome = r.applyOrder(h, order)
	}
	r.inputs = append(r.inputs, result)
}

// delayOrder makes an order take effect at a later time.
func (h *fakeHost) delayOrder(at time.Duration, order state.HostOrder) {
	h.lateOrders = append(h.lateOrders, lateOrder{at, order})
	slices.SortStableFunc(h.lateOrders, func(a, b lateOrder) int { return cmp.Compare(a.at, b.at) })
}

// applyOrder carries out an order and records violations of the platform's
// rules.
func (r *rig) applyOrder(h *fakeHost, order state.HostOrder) state.OrderOutcome {
	membership := &h.row.Membership
	isSameGroup := membership.Group == order.Group && membership.Epoch == order.Epoch
	switch {
	case order.FencingToken != 0 && order.FencingToken < h.fencingToken:
		return state.OrderFenced
	case order.Operation == state.HostJoin && isSameGroup:
		return state.OrderAlreadyApplied
	case order.ExpectedSequence != h.sequence:
		return state.OrderConflict
	}
	h.fencingToken = order.FencingToken
	switch order.Operation {
	case state.HostJoin:
		if order.Epoch < membership.Epoch {
			return state.OrderFenced
		}
		r.checkJoin(h, order)
		h.joinUntil = r.now + r.joinTime(h, order.Model)
		*membership = state.Membership{Group: order.Group, Epoch: order.Epoch, Rank: slices.Index(order.Members, h.row.ID), Phase: state.MemberJoining}
		h.row.LoadedModel = order.Model
	case state.HostOpen:
		if !isSameGroup || membership.Phase != state.MemberReady {
			return state.OrderConflict
		}
		r.checkOpen(order)
		h.openUntil = r.now + r.engine.GroupOpenTime
		membership.Phase = state.MemberReady
	case state.HostCloseImmediate, state.HostCloseGraceful:
		if !isSameGroup {
			return state.OrderConflict
		}
		if h.busy && order.Operation == state.HostCloseGraceful {
			membership.Phase = state.MemberClosing
			break
		}
		membership.Phase, h.openUntil = state.MemberReady, 0
	case state.HostLeave:
		if !isSameGroup {
			return state.OrderConflict
		}
		*membership = state.Membership{}
	case state.HostStage:
		h.staging, h.stageUntil = order.Model, r.now+r.loadTime(order.Model)
	}
	h.sequence++
	r.publish(h)
	return state.OrderAccepted
}

func (r *rig) joinTime(h *fakeHost, model string) time.Duration {
	profile := r.engine.Model(model)
	switch {
	case h.row.LoadedModel == model:
		return rejoinTime
	case slices.Contains(h.row.StagedModels, model):
		return profile.StagedLoadTime
	}
	h.row.StagedModels = []string{model}
	return r.loadTime(model)
}

func (r *rig) loadTime(model string) time.Duration {
	if r.tables.Managed.TrafficStarted {
		return r.engine.Model(model).FullLoadTime
	}
	return r.engine.Model(model).FullLoadTime / 10
}

// checkJoin guards against a host in two groups: the leader of its current
// group must not be able to serve.
func (r *rig) checkJoin(h *fakeHost, order state.HostOrder) {
	old := h.row.Membership
	if old.Group == "" || old.Group == order.Group {
		return
	}
	for id, leader := range r.hosts {
		m := leader.row.Membership
		if m.Group == old.Group && m.Epoch == old.Epoch && m.Rank == 0 && m.Phase == state.MemberOpen && !leader.refusing {
			r.violations = append(r.violations, fmt.Sprintf("%v: %s joins group %s while %s serves as the leader of %s", r.now, h.row.ID, order.Group, id, old.Group))
		}
	}
}

// checkOpen guards against a group that serves without all its members. A member that was
// ready and is lost excuses, as in the rules of the platform.
func (r *rig) checkOpen(order state.HostOrder) {
	ready := 0
	for _, h := range r.hosts {
		m := h.row.Membership
		if m.Group == order.Group && m.Epoch == order.Epoch && m.Phase == state.MemberReady || h.wasLostReady(order.Group, order.Epoch) {
			ready++
		}
	}
	if model := r.hosts[order.Host].row.LoadedModel; ready != r.engine.Model(model).GroupSize {
		r.violations = append(r.violations, fmt.Sprintf("%v: group %s opens with %d members ready", r.now, order.Group, ready))
	}
}

func (r *rig) advanceHost(h *fakeHost) {
	if h.unresponsive || h.refusing {
		return
	}
	for len(h.lateOrders) > 0 && r.now >= h.lateOrders[0].at {
		r.applyOrder(h, h.lateOrders[0].order)
		h.lateOrders = h.lateOrders[1:]
	}
	changed := false
	if m := &h.row.Membership; m.Phase == state.MemberJoining && r.now >= h.joinUntil {
		m.Phase, changed = state.MemberReady, true
	}
	if h.openUntil > 0 && r.now >= h.openUntil {
		h.openUntil, h.row.Membership.Phase, changed = 0, state.MemberOpen, true
	}
	if h.staging != "" && r.now >= h.stageUntil {
		h.row.StagedModels, h.staging, changed = []string{h.staging}, "", true
	}
	if changed {
		r.publish(h)
	}
}

// openGroups returns the members of the serving groups of a model, by leader.
func (r *rig) openGroups(model string) map[state.HostID][]state.HostID {
	out := map[state.HostID][]state.HostID{}
	for id, h := range r.hosts {
		m := h.row.Membership
		if h.unresponsive || h.refusing || h.row.LoadedModel != model || m.Rank != 0 || m.Phase != state.MemberOpen {
			continue
		}
		var members []state.HostID
		for otherID, otherHost := range r.hosts {
			if otherMembership := otherHost.row.Membership; otherMembership.Group == m.Group && otherMembership.Epoch == m.Epoch && !otherHost.unresponsive && !otherHost.refusing {
				members = append(members, otherID)
			}
		}
		if len(members) == r.engine.Model(model).GroupSize {
			out[id] = members
		}
	}
	return out
}

// loseHost stops a host for good and stalls the streams of its group.
func (r *rig) loseHost(id state.HostID) {
	h := r.hosts[id]
	h.unresponsive = true
	for otherID, otherHost := range r.hosts {
		if otherHost.row.Membership.Group == h.row.Membership.Group && otherHost.row.Membership.Rank == 0 && h.row.Membership.Group != "" {
			r.tables.Managed.StalledTargets[otherID] = r.now
			r.tables.Managed.GloballyStalledTargets[otherID] = r.now
		}
	}
}

// expireEntry removes the entry of a host from the list, as the platform does
// 3.6 s after the last heartbeat.
func (r *rig) expireEntry(id state.HostID) {
	r.hosts[id].listed = false
	r.publish(r.hosts[id])
}

func (r *rig) startTraffic() {
	r.run(9 * time.Second)
	r.tables.Managed.TrafficStarted = true
	r.tables.Managed.Demand = map[string]float64{large: 5, small: 5.6}
	r.run(5 * time.Second)
}
