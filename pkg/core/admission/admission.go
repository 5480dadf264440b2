// Package admission queues requests and shares the targets between client
// accounts.
package admission

import (
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const (
	// defaultQueueTime bounds waiting unless the preset in force says otherwise.
	defaultQueueTime = 30 * time.Second
	// recheckPeriod is the period at which blocked classes are tried again
	// without an event. It covers evidence that comes back without a change.
	recheckPeriod = time.Second
)

// Picker chooses the target of a request.
type Picker interface {
	// Pick returns a target and counts the attempt there, or false when none
	// can take the request now.
	Pick(now time.Duration, req *state.Request, out *state.Outbox) (state.TargetID, bool)
	// CapacityGrew reports whether a target may take more than at the last call.
	CapacityGrew() bool
	// Serves reports whether the configuration has a target for the request.
	Serves(req *state.Request) bool
}

// System reads Config, Peers and the claim and attempt columns of Requests; it
// writes the usage columns of Accounts and Requests from the queue to the
// start of an attempt.
type System struct {
	t       *state.Tables
	picker  Picker
	queue   *queue
	changed *state.DirtySet[state.RequestID]
	peers   *state.DirtySet[state.NodeID]
	rows    *state.DirtySet[state.AccountID]
	// bounds holds queued requests by the end of their wait, delayed those that
	// may not be sent yet.
	bounds  *state.DueQueue[state.RequestID]
	delayed *state.DueQueue[state.RequestID]
	running map[state.RequestID]attempt
	usage   map[state.NodeID][]state.AccountValue
	limits  map[state.AccountID]limits
	version state.Version
	fresh   bool
	recheck time.Duration
	// try is set when something may have become possible to send.
	try bool
}

// attempt is a running attempt as the usage counts have it.
type attempt struct {
	number  int
	account state.AccountID
	class   *class
	cost    int64
	startAt time.Duration
}

// New returns the admission system.
func New(t *state.Tables, picker Picker) *System {
	q := newQueue()
	q.single = t.Switches.IgnoreFairness
	return &System{
		t: t, picker: picker, queue: q,
		changed: t.Requests.Subscribe(), peers: t.Peers.Subscribe(), rows: t.Accounts.Subscribe(),
		bounds: state.NewDueQueue[state.RequestID](), delayed: state.NewDueQueue[state.RequestID](),
		running: map[state.RequestID]attempt{}, usage: map[state.NodeID][]state.AccountValue{},
		limits: map[state.AccountID]limits{},
	}
}

// Step implements state.System.
func (s *System) Step(now time.Duration, in state.Input, out *state.Outbox) {
	if c := &s.t.Config; c.Loaded && c.Head.Version != s.version {
		s.version = c.Head.Version
		s.configured(now, out)
	}
	for _, id := range s.rows.Take() {
		s.accountChanged(id)
	}
	for _, id := range s.peers.Take() {
		s.peerChanged(id)
	}
	if ev, ok := in.(state.AttemptEvent); ok && ev.Stage == state.AttemptEnded {
		s.ended(now, ev)
	}
	for _, id := range s.changed.Take() {
		s.requestChanged(now, id, out)
	}
	s.timers(now, out)
	if s.picker.CapacityGrew() || s.fresh != s.t.Config.Fresh || now >= s.recheck {
		s.fresh, s.recheck, s.try = s.t.Config.Fresh, now+recheckPeriod, true
		s.queue.unblock()
	}
	if s.try {
		s.try = false
		s.dispatch(now, out)
	}
}

// configured takes the weights in force and refuses what no target serves any
// more.
func (s *System) configured(now time.Duration, out *state.Outbox) {
	for _, id := range s.t.Accounts.Keys() {
		s.accountChanged(id)
	}
	for _, id := range s.queue.representatives() {
		req := s.t.Requests.Get(id)
		if req == nil || s.picker.Serves(req) {
			continue
		}
		for _, other := range s.queue.classOf(id) {
			if r := s.t.Requests.Get(other); r != nil {
				s.refuse(now, r, s.notServed(r), out)
			}
		}
	}
}

// accountChanged sets the limits in force of an account: those of the preset,
// or the declared ones.
func (s *System) accountChanged(id state.AccountID) {
	row := s.t.Accounts.Get(id)
	if row == nil {
		delete(s.limits, id)
		return
	}
	is := limits{
		weight: row.Weight, concurrency: row.Concurrency, version: s.version, row: row,
	}
	old := s.limits[id]
	if old.declared() == is.declared() {
		return
	}
	preset := s.t.Config.Preset()
	is.maximum = override(preset.Concurrency, id, row.Concurrency)
	s.limits[id] = is
	s.queue.setWeight(id, override(preset.Weights, id, row.Weight))
	if old.row != row {
		row.PeerInFlight = s.peerUsage(id)
	}
	s.try = true
}

// limits are the limits of an account in force at a configuration version.
type limits struct {
	weight      int
	concurrency int
	version     state.Version
	row         *state.Account
	// maximum is the concurrency limit in force; 0 means none.
	maximum int
}

// declared returns the limits without what follows from the preset.
func (l limits) declared() limits {
	l.maximum = 0
	return l
}

func override(values []state.AccountValue, id state.AccountID, declared int) int {
	if i := slices.IndexFunc(values, func(v state.AccountValue) bool { return v.Account == id }); i >= 0 {
		return values[i].Value
	}
	return declared
}

// hasRoom reports whether an account is below its concurrency limit over all
// nodes.
func (s *System) hasRoom(id state.AccountID) bool {
	row := s.t.Accounts.Get(id)
	if row == nil {
		return true
	}
	limit := s.limits[id].maximum
	return limit <= 0 || row.InFlight+row.PeerInFlight < limit
}

// peerChanged moves the difference of a peer's usage into the accounts.
func (s *System) peerChanged(id state.NodeID) {
	var usage []state.AccountValue
	if peer := s.t.Peers.Get(id); peer != nil {
		usage = peer.Usage
	}
	if slices.Equal(s.usage[id], usage) {
		return
	}
	s.addUsage(s.usage[id], -1)
	s.addUsage(usage, 1)
	s.usage[id] = slices.Clone(usage)
	s.try = true
}

func (s *System) addUsage(usage []state.AccountValue, sign int) {
	for _, u := range usage {
		if row := s.t.Accounts.Get(u.Account); row != nil {
			row.PeerInFlight += sign * u.Value
		}
	}
}

// peerUsage sums what the peers last reported about an account.
func (s *System) peerUsage(id state.AccountID) int {
	sum := 0
	for _, usage := range s.usage {
		for _, u := range usage {
			if u.Account == id {
				sum += u.Value
			}
		}
	}
	return sum
}

// ended releases what a running attempt used.
func (s *System) ended(now time.Duration, ev state.AttemptEvent) {
	a, ok := s.running[ev.Request]
	if !ok || a.number != ev.Attempt {
		return
	}
	delete(s.running, ev.Request)
	s.queue.release(a)
	if ev.Failure == state.FailureNone {
		a.class.served(now-a.startAt, a.cost)
	}
	s.try = true
	if row := s.t.Accounts.Get(a.account); row != nil {
		row.InFlight--
		s.t.Accounts.Touch(a.account)
	}
}

// requestChanged moves a request into or out of the queue.
func (s *System) requestChanged(now time.Duration, id state.RequestID, out *state.Outbox) {
	req := s.t.Requests.Get(id)
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
		s.admitAgain(now, req)
	case req.Phase == state.RequestQueued && req.Attempt == 0 && !s.queue.has(id):
		s.admit(now, req, out)
	case req.Phase == state.RequestQueued && s.queue.has(id) && s.queue.moved(req):
		// A resume that found no target became a restart.
		s.remove(now, id)
		s.admitAgain(now, req)
	}
}

// admit queues a new request unless it cannot be served in time.
func (s *System) admit(now time.Duration, req *state.Request, out *state.Outbox) {
	if now >= req.Deadline {
		s.refuse(now, req, deadlinePassed(), out)
		return
	}
	if s.t.Config.Loaded && !s.picker.Serves(req) {
		s.refuse(now, req, s.notServed(req), out)
		return
	}
	lane := int(req.Arrival.Priority) + 1
	wait, service := s.queue.wait(now, req, lane)
	if wait > s.queueTime() || (wait > 0 && now+wait+service > req.Deadline) {
		s.refuse(now, req, s.tooLate(wait), out)
		return
	}
	s.enqueue(now, req, lane)
}

// admitAgain queues a request for its next attempt, ahead of new requests of
// its account.
func (s *System) admitAgain(now time.Duration, req *state.Request) {
	if req.NextStepAt > now {
		s.delayed.Schedule(req.Arrival.ID, req.NextStepAt)
		s.bounds.Schedule(req.Arrival.ID, min(req.Deadline, now+s.queueTime()))
		return
	}
	s.enqueue(now, req, laneAgain)
}

func (s *System) enqueue(now time.Duration, req *state.Request, lane int) {
	s.queue.push(now, req, lane)
	s.bounds.Schedule(req.Arrival.ID, min(req.Deadline, now+s.queueTime()))
	s.countQueued(req.Arrival.Account, 1)
	s.try = true
}

func (s *System) queueTime() time.Duration {
	if t := s.t.Config.Preset().MaxQueueTime; t > 0 {
		return t
	}
	return defaultQueueTime
}

func (s *System) countQueued(id state.AccountID, n int) {
	if row := s.t.Accounts.Get(id); row != nil {
		row.Queued += n
	}
}

// remove takes a request out of the queue.
func (s *System) remove(now time.Duration, id state.RequestID) {
	s.bounds.Cancel(id)
	s.delayed.Cancel(id)
	if account, ok := s.queue.remove(now, id); ok {
		s.countQueued(account, -1)
	}
}

func (s *System) timers(now time.Duration, out *state.Outbox) {
	for id, ok := s.delayed.Pop(now); ok; id, ok = s.delayed.Pop(now) {
		if req := s.t.Requests.Get(id); req != nil && req.Phase == state.RequestQueued {
			s.admitAgain(now, req)
		}
	}
	for id, ok := s.bounds.Pop(now); ok; id, ok = s.bounds.Pop(now) {
		if req := s.t.Requests.Get(id); req != nil {
			s.refuse(now, req, s.waitedTooLong(now, req), out)
		}
	}
}
