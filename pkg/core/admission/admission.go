// Package admission queues requests and shares the capacity of the targets
// fairly between client accounts.
package admission

import (
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const (
	// defaultMaxQueueTime bounds the time in the queue unless the preset in force
	// sets another limit.
	defaultMaxQueueTime = 30 * time.Second
	// recheckPeriod is the period at which blocked classes are retried without an
	// event. It covers evidence that becomes valid again without a reported change.
	recheckPeriod = time.Second
)

// Picker chooses the target of a request.
type Picker interface {
	// Pick returns a target and counts the attempt there, or false when no target
	// can accept the request now.
	Pick(now time.Duration, req *state.Request, out *state.Outbox) (state.TargetID, bool)
	// CapacityGrew reports whether a target may accept more requests than at the
	// last call.
	CapacityGrew() bool
	// Serves reports whether the configuration in force has a target for the
	// request.
	Serves(req *state.Request) bool
}

// System is the admission system. It reads Config, Peers and the claim and attempt
// columns of Requests. It writes the usage columns of Accounts, and the columns of
// Requests that change between queueing and the start of an attempt.
type System struct {
	tables          *state.Tables
	picker          Picker
	queue           *fairQueue
	changedRequests *state.DirtySet[state.RequestID]
	changedPeers    *state.DirtySet[state.NodeID]
	changedAccounts *state.DirtySet[state.AccountID]
	// waitDeadlines holds queued requests by the end of their maximum wait, delayed
	// holds requests by the time before which their next attempt must not start.
	waitDeadlines *state.DueQueue[state.RequestID]
	delayed       *state.DueQueue[state.RequestID]
	running       map[state.RequestID]attempt
	usageByPeer   map[state.NodeID][]state.AccountValue
	limits        map[state.AccountID]accountLimits
	version       state.Version
	wasFresh      bool
	nextRecheckAt time.Duration
	// dispatchNeeded is set when a queued request may have become sendable.
	dispatchNeeded bool
}

// attempt is a running attempt as included in the usage counts.
type attempt struct {
	number    int
	account   state.AccountID
	class     *class
	cost      int64
	startedAt time.Duration
}

// New returns the admission system.
func New(tables *state.Tables, picker Picker) *System {
	q := newFairQueue()
	q.singleQueue = tables.Switches.IgnoreFairness
	return &System{
		tables: tables, picker: picker, queue: q,
		changedRequests: tables.Requests.Subscribe(), changedPeers: tables.Peers.Subscribe(), changedAccounts: tables.Accounts.Subscribe(),
		waitDeadlines: state.NewDueQueue[state.RequestID](), delayed: state.NewDueQueue[state.RequestID](),
		running: map[state.RequestID]attempt{}, usageByPeer: map[state.NodeID][]state.AccountValue{},
		limits: map[state.AccountID]accountLimits{},
	}
}

// Step implements state.System.
func (s *System) Step(now time.Duration, in state.Input, out *state.Outbox) {
	if c := &s.tables.Config; c.Loaded && c.Head.Version != s.version {
		s.version = c.Head.Version
		s.applyConfiguration(now, out)
	}
	for _, id := range s.changedAccounts.Take() {
		s.accountChanged(id)
	}
	for _, id := range s.changedPeers.Take() {
		s.peerChanged(id)
	}
	if ev, ok := in.(state.AttemptEvent); ok && ev.Stage == state.AttemptEnded {
		s.handleAttemptEnd(now, ev)
	}
	for _, id := range s.changedRequests.Take() {
		s.requestChanged(now, id, out)
	}
	s.processTimers(now, out)
	if s.picker.CapacityGrew() || s.wasFresh != s.tables.Config.Fresh || now >= s.nextRecheckAt {
		s.wasFresh, s.nextRecheckAt, s.dispatchNeeded = s.tables.Config.Fresh, now+recheckPeriod, true
		s.queue.unblockClasses()
	}
	if s.dispatchNeeded {
		s.dispatchNeeded = false
		s.dispatch(now, out)
	}
}

// applyConfiguration applies the weights and limits in force and refuses queued
// requests that no target serves any more.
func (s *System) applyConfiguration(now time.Duration, out *state.Outbox) {
	for _, id := range s.tables.Accounts.Keys() {
		s.accountChanged(id)
	}
	for _, id := range s.queue.classRepresentatives() {
		req := s.tables.Requests.Get(id)
		if req == nil || s.picker.Serves(req) {
			continue
		}
		for _, other := range s.queue.requestsInClassOf(id) {
			if r := s.tables.Requests.Get(other); r != nil {
				s.refuse(now, r, s.notServedError(r), out)
			}
		}
	}
}

// accountChanged sets the limits in force of an account. Values of the preset
// override the declared ones.
func (s *System) accountChanged(id state.AccountID) {
	row := s.tables.Accounts.Get(id)
	if row == nil {
		delete(s.limits, id)
		return
	}
	current := accountLimits{
		declaredWeight: row.Weight, declaredConcurrency: row.Concurrency, version: s.version, row: row,
	}
	previous := s.limits[id]
	if previous.withoutDerivedFields() == current.withoutDerivedFields() {
		return
	}
	preset := s.tables.Config.Preset()
	current.maxConcurrency = presetValueOr(preset.Concurrency, id, row.Concurrency)
	s.limits[id] = current
	s.queue.setWeight(id, presetValueOr(preset.Weights, id, row.Weight))
	if previous.row != row {
		row.PeerInFlight = s.sumPeerUsage(id)
	}
	s.dispatchNeeded = true
}

// accountLimits are the limits of an account at a configuration version.
type accountLimits struct {
	declaredWeight      int
	declaredConcurrency int
	version             state.Version
	// row detects that the account row was replaced: the new row has no peer usage.
	row *state.Account
	// maxConcurrency is the concurrency limit in force; 0 means none.
	maxConcurrency int
}

// withoutDerivedFields returns the limits without the fields that are derived from
// the preset.
func (l accountLimits) withoutDerivedFields() accountLimits {
	l.maxConcurrency = 0
	return l
}

// presetValueOr returns the value that the preset sets for an account, or the
// declared value.
func presetValueOr(values []state.AccountValue, id state.AccountID, declared int) int {
	if i := slices.IndexFunc(values, func(v state.AccountValue) bool { return v.Account == id }); i >= 0 {
		return values[i].Value
	}
	return declared
}

// isBelowConcurrencyLimit reports whether the requests of an account in flight over
// all nodes are below its concurrency limit.
func (s *System) isBelowConcurrencyLimit(id state.AccountID) bool {
	row := s.tables.Accounts.Get(id)
	if row == nil {
		return true
	}
	limit := s.limits[id].maxConcurrency
	return limit <= 0 || row.InFlight+row.PeerInFlight < limit
}

// peerChanged applies the change of a peer's usage to the accounts.
func (s *System) peerChanged(id state.NodeID) {
	var usage []state.AccountValue
	if peer := s.tables.Peers.Get(id); peer != nil {
		usage = peer.Usage
	}
	if slices.Equal(s.usageByPeer[id], usage) {
		return
	}
	s.addPeerUsage(s.usageByPeer[id], -1)
	s.addPeerUsage(usage, 1)
	s.usageByPeer[id] = slices.Clone(usage)
	s.dispatchNeeded = true
}

func (s *System) addPeerUsage(usage []state.AccountValue, sign int) {
	for _, u := range usage {
		if row := s.tables.Accounts.Get(u.Account); row != nil {
			row.PeerInFlight += sign * u.Value
		}
	}
}

// sumPeerUsage returns the requests in flight that the peers last reported for an
// account.
func (s *System) sumPeerUsage(id state.AccountID) int {
	sum := 0
	for _, usage := range s.usageByPeer {
		for _, u := range usage {
			if u.Account == id {
				sum += u.Value
			}
		}
	}
	return sum
}

// handleAttemptEnd releases the usage of a running attempt.
func (s *System) handleAttemptEnd(now time.Duration, ev state.AttemptEvent) {
	a, ok := s.running[ev.Request]
	if !ok || a.number != ev.Attempt {
		return
	}
	delete(s.running, ev.Request)
	s.queue.releaseInFlight(a)
	if ev.Failure == state.FailureNone {
		a.class.recordServiceTime(now-a.startedAt, a.cost)
	}
	s.dispatchNeeded = true
	if row := s.tables.Accounts.Get(a.account); row != nil {
		row.InFlight--
		s.tables.Accounts.Touch(a.account)
	}
}

// requestChanged moves a request into or out of the queue.
func (s *System) requestChanged(now time.Duration, id state.RequestID, out *state.Outbox) {
	req := s.tables.Requests.Get(id)
	if req == nil || req.Phase == state.RequestEnded {
		s.remove(now, id)
		return
	}
	switch {
	case req.ClaimStatus == state.ClaimPending:
		req.Phase = state.RequestClaiming
	case req.Phase == state.RequestClaiming:
		req.Phase = state.RequestClaimed
		s.admit(now, req, out)
	case req.Phase == state.RequestSent && !req.HasRunningAttempt() && req.NextStep != state.NextNone:
		req.Phase = state.RequestQueued
		s.requeue(now, req)
	case req.Phase == state.RequestQueued && req.Attempt == 0 && !s.queue.contains(id):
		s.admit(now, req, out)
	case req.Phase == state.RequestQueued && s.queue.contains(id) && s.queue.hasClassChanged(req):
		// A resume that timed out became a retry, which needs another class.
		s.remove(now, id)
		s.requeue(now, req)
	}
}

// admit queues a new request, or refuses it if no target serves it or if the
// estimated wait exceeds its deadline or the maximum queue time.
func (s *System) admit(now time.Duration, req *state.Request, out *state.Outbox) {
	if now >= req.Deadline {
		s.refuse(now, req, deadlinePassedError(), out)
		return
	}
	if s.tables.Config.Loaded && !s.picker.Serves(req) {
		s.refuse(now, req, s.notServedError(req), out)
		return
	}
	lane := int(req.Arrival.Priority) + 1
	wait, serviceTime := s.queue.estimateWait(now, req, lane)
	if wait > s.maxQueueTime() || (wait > 0 && now+wait+serviceTime > req.Deadline) {
		s.refuse(now, req, s.deadlineUnreachableError(wait), out)
		return
	}
	s.enqueue(now, req, lane)
}

// requeue queues a request for its next attempt, ahead of new requests of its
// account. The request waits in delayed until NextStepAt.
func (s *System) requeue(now time.Duration, req *state.Request) {
	if req.NextStepAt > now {
		s.delayed.Schedule(req.Arrival.ID, req.NextStepAt)
		s.waitDeadlines.Schedule(req.Arrival.ID, min(req.Deadline, now+s.maxQueueTime()))
		return
	}
	s.enqueue(now, req, laneRequeued)
}

func (s *System) enqueue(now time.Duration, req *state.Request, lane int) {
	s.queue.push(now, req, lane)
	s.waitDeadlines.Schedule(req.Arrival.ID, min(req.Deadline, now+s.maxQueueTime()))
	s.addQueued(req.Arrival.Account, 1)
	s.dispatchNeeded = true
}

func (s *System) maxQueueTime() time.Duration {
	if t := s.tables.Config.Preset().MaxQueueTime; t > 0 {
		return t
	}
	return defaultMaxQueueTime
}

func (s *System) addQueued(id state.AccountID, n int) {
	if row := s.tables.Accounts.Get(id); row != nil {
		row.Queued += n
	}
}

// remove removes a request from the queue and cancels its timers.
func (s *System) remove(now time.Duration, id state.RequestID) {
	s.waitDeadlines.Cancel(id)
	s.delayed.Cancel(id)
	if account, ok := s.queue.remove(now, id); ok {
		s.addQueued(account, -1)
	}
}

func (s *System) processTimers(now time.Duration, out *state.Outbox) {
	for id, ok := s.delayed.Pop(now); ok; id, ok = s.delayed.Pop(now) {
		if req := s.tables.Requests.Get(id); req != nil && req.Phase == state.RequestQueued {
			s.requeue(now, req)
		}
	}
	for id, ok := s.waitDeadlines.Pop(now); ok; id, ok = s.waitDeadlines.Pop(now) {
		if req := s.tables.Requests.Get(id); req != nil {
			s.refuse(now, req, s.waitExpiredError(now, req), out)
		}
	}
}
