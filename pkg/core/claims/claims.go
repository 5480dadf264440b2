// Package claims makes sure that a request that may not be repeated runs at
// most once.
package claims

import (
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const (
	name = "claims"
	// maxRowAnswer is the largest answer body in a row, in bytes.
	maxRowAnswer = 64 << 10
	// maxPeerAnswer leaves room for the envelope in a frame of 256 KiB.
	maxPeerAnswer = 192 << 10
	// insertFor bounds the time for an insert whose answers are lost.
	insertFor = 5 * time.Second
	// insertAgain and persistAgain are the pauses before a write is repeated.
	insertAgain  = 100 * time.Millisecond
	persistAgain = 500 * time.Millisecond
	// persistMax bounds the pause, which doubles while the write fails.
	persistMax = 8 * time.Second
	// downAfter is the number of store requests in a row without an answer after
	// which the table service counts as down; probePeriod is the period at which
	// one claim is still tried.
	downAfter   = 3
	probePeriod = time.Second
	// pollPeriod is the period of questions to a holder or to a lookup.
	pollPeriod = 250 * time.Millisecond
	// lookupFor bounds the wait for a lookup to find an execution. After it the
	// caller is told that the outcome is unknown.
	lookupFor = 10 * time.Second
	// keepFor is how long a settled claim stays in memory.
	keepFor = 5 * time.Minute
)

// stage is how far an entry came.
type stage uint8

const (
	// stageInsert writes the row of a claimant.
	stageInsert stage = iota
	// stageHeld holds the row; the claimant may be sent.
	stageHeld
	// stageFinal has a final phase, which may still have to be stored.
	stageFinal
	// stageForeign watches a row that another process holds.
	stageForeign
)

// storeOp is what a store request in flight is for.
type storeOp uint8

const (
	opInsert storeOp = iota
	opPutObject
	opPersist
	opRead
	opGetObject
)

// entry is the work of this node on one key.
type entry struct {
	key     string
	account state.AccountID
	idem    string
	service string
	claim   *state.Claim
	stage   stage
	// claimant is the request of this node that the row is for.
	claimant state.RequestID
	waiters  []state.RequestID
	// store is the id of the store request in flight, 0 for none.
	store uint64
	op    storeOp
	// written is the phase that the write in flight stores.
	written state.ClaimPhase
	// lost is set once the answer of an insert was lost.
	lost     bool
	giveUpAt time.Duration
	// unknownAt is when the outcome became unknown; negative while it is not.
	unknownAt time.Duration
	polls     int
	// failures counts failed writes of the final phase.
	failures  int
	objectPut bool
	settledAt time.Duration
}

// System reads Config, Peers and Requests; it writes Claims and the Gate column
// of Requests.
type System struct {
	t         *state.Tables
	entries   map[string]*entry
	stores    map[uint64]*entry
	due       *state.DueQueue[string]
	deadlines *state.DueQueue[state.RequestID]
	changed   *state.DirtySet[state.RequestID]
	// open maps each request with a claim that has not ended to its key.
	open map[state.RequestID]string
	// unanswered counts store requests in a row without an answer.
	unanswered int
	nextProbe  time.Duration
}

// New returns the claims system.
func New(t *state.Tables) *System {
	return &System{
		t: t, entries: map[string]*entry{}, stores: map[uint64]*entry{},
		due: state.NewDueQueue[string](), deadlines: state.NewDueQueue[state.RequestID](),
		changed: t.Requests.Subscribe(), open: map[state.RequestID]string{},
	}
}

// Step implements state.System.
func (s *System) Step(now time.Duration, in state.Input, out *state.Outbox) {
	for _, id := range s.changed.Take() {
		s.requestChanged(now, id, out)
	}
	switch in := in.(type) {
	case state.RequestArrived:
		if req := s.t.Requests.Get(in.ID); req != nil && s.t.NeedsClaim(req) && req.Phase != state.RequestEnded {
			s.arrived(now, req, out)
		}
	case state.StoreReply:
		if e := s.stores[in.ID]; e != nil {
			delete(s.stores, in.ID)
			s.unanswered++
			if in.Result == state.StoreOK || in.Result == state.StoreConflict {
				s.unanswered = 0
			}
			e.store = 0
			s.replied(now, e, in, out)
		}
	case state.AttemptEvent:
		s.attempted(now, in, out)
	case state.PeerMessage:
		s.message(now, in, out)
	case state.LookupResult:
		s.lookedUp(now, in, out)
	}
	s.timers(now, out)
}

func (s *System) timers(now time.Duration, out *state.Outbox) {
	for {
		id, ok := s.deadlines.Pop(now)
		if !ok {
			break
		}
		s.expired(now, id, out)
	}
	for {
		key, ok := s.due.Pop(now)
		if !ok {
			return
		}
		if e := s.entries[key]; e != nil {
			s.advance(now, e, out)
		}
	}
}

// advance does what is due on an entry.
func (s *System) advance(now time.Duration, e *entry, out *state.Outbox) {
	switch e.stage {
	case stageInsert:
		s.insert(e, out)
	case stageHeld:
	case stageForeign:
		s.poll(now, e, out)
	case stageFinal:
		if !e.claim.Stored {
			s.persist(e, out)
		}
		if e.claim.Row.Phase == state.ClaimUnknown && len(e.waiters) > 0 {
			s.poll(now, e, out)
			return
		}
		if !e.claim.Stored || len(e.waiters) > 0 {
			return
		}
		if now-e.settledAt >= keepFor && e.store == 0 {
			s.forget(e)
			return
		}
		s.due.Schedule(e.key, max(e.settledAt+keepFor, now+pollPeriod))
	}
}

func (s *System) forget(e *entry) {
	delete(s.entries, e.key)
	s.due.Cancel(e.key)
	s.t.Claims.Delete(e.key)
}

// arrived takes in a request that needs a claim.
func (s *System) arrived(now time.Duration, req *state.Request, out *state.Outbox) {
	key := state.KeyClaim(req.Arrival.Account, req.Arrival.IdempotencyKey)
	req.ClaimStatus = state.ClaimPending
	s.open[req.Arrival.ID] = key
	s.deadlines.Schedule(req.Arrival.ID, req.Deadline)
	e := s.entries[key]
	if e == nil && s.isStoreDown(now) {
		s.refuse(now, req.Arrival.ID, s.storeDown(), out)
		return
	}
	if e == nil {
		e = &entry{
			key: key, account: req.Arrival.Account, idem: req.Arrival.IdempotencyKey, service: req.Arrival.Service,
			claim: &state.Claim{}, unknownAt: -1,
		}
		s.entries[key] = e
		s.t.Claims.Put(key, e.claim)
		s.begin(now, e, req.Arrival.ID, out)
		return
	}
	e.waiters = append(e.waiters, req.Arrival.ID)
	s.serveWaiters(now, e, out)
}

// isStoreDown reports whether a claim need not be tried. A service that answers
// nothing would otherwise hold each request for the time-out of the call.
func (s *System) isStoreDown(now time.Duration) bool {
	if s.unanswered < downAfter {
		return false
	}
	if now >= s.nextProbe {
		s.nextProbe = now + probePeriod
		return false
	}
	return true
}

// serveWaiters gives the waiting requests what the entry's state allows.
func (s *System) serveWaiters(now time.Duration, e *entry, out *state.Outbox) {
	row := &e.claim.Row
	s.dropOtherBodies(now, e, out)
	if e.stage != stageFinal || len(e.waiters) == 0 {
		return
	}
	switch row.Phase {
	case state.ClaimDone:
		s.answerWaiters(now, e, out)
	case state.ClaimNotRun:
		// A new claim waits until the old row is marked: the condition of its
		// write is the revision of that mark.
		if e.claim.Stored && e.store == 0 {
			s.beginNext(now, e, out)
		}
	case state.ClaimUnknown:
		if e.unknownAt < 0 {
			e.unknownAt = now
		}
		s.poll(now, e, out)
	case state.ClaimNone, state.ClaimHeld:
	}
}

// beginNext claims the key for the first waiter that is still there.
func (s *System) beginNext(now time.Duration, e *entry, out *state.Outbox) {
	for len(e.waiters) > 0 {
		id := e.waiters[0]
		e.waiters = e.waiters[1:]
		if s.isOpen(id) {
			s.begin(now, e, id, out)
			return
		}
	}
	s.due.Schedule(e.key, now+keepFor)
}

// dropOtherBodies refuses waiters whose body is not that of the claim. A claim
// that was not run frees its key for any body.
func (s *System) dropOtherBodies(now time.Duration, e *entry, out *state.Outbox) {
	if e.claim.Row.Phase == state.ClaimNotRun || e.claim.Row.Phase == state.ClaimNone {
		return
	}
	kept := e.waiters[:0]
	for _, id := range e.waiters {
		req := s.t.Requests.Get(id)
		if !s.isOpen(id) {
			continue
		}
		if req.Arrival.BodyHash != e.claim.Row.BodyHash {
			s.refuse(now, id, keyReused(), out)
			continue
		}
		kept = append(kept, id)
	}
	e.waiters = kept
}

func (s *System) answerWaiters(now time.Duration, e *entry, out *state.Outbox) {
	row := &e.claim.Row
	if row.Answer == nil && row.AnswerObjectKey != "" {
		if e.store == 0 {
			s.send(e, opGetObject, state.StoreRequest{GetObject: row.AnswerObjectKey}, out)
		}
		return
	}
	waiters := e.waiters
	e.waiters = nil
	for _, id := range waiters {
		if !s.isOpen(id) {
			continue
		}
		delete(s.open, id)
		s.deadlines.Cancel(id)
		req := s.t.Requests.Get(id)
		if row.Answer == nil {
			s.t.EndWithRefusal(now, req, answerLost(), out)
			continue
		}
		s.t.EndWithAnswer(now, req, state.Reply{Answer: row.Answer, Replayed: id != row.Request}, out)
	}
}

func (s *System) refuseWaiters(now time.Duration, e *entry, refusal *apierror.Error, out *state.Outbox) {
	waiters := e.waiters
	e.waiters = nil
	for _, id := range waiters {
		s.refuse(now, id, refusal, out)
	}
}

func (s *System) refuse(now time.Duration, id state.RequestID, refusal *apierror.Error, out *state.Outbox) {
	if !s.isOpen(id) {
		return
	}
	delete(s.open, id)
	s.deadlines.Cancel(id)
	s.t.EndWithRefusal(now, s.t.Requests.Get(id), refusal, out)
}

func (s *System) isOpen(id state.RequestID) bool {
	req := s.t.Requests.Get(id)
	return req != nil && req.Phase != state.RequestEnded
}

// requestChanged marks the row of a claimant that ended without being sent.
func (s *System) requestChanged(now time.Duration, id state.RequestID, out *state.Outbox) {
	key, ok := s.open[id]
	if !ok || s.isOpen(id) {
		return
	}
	delete(s.open, id)
	s.deadlines.Cancel(id)
	e := s.entries[key]
	if e == nil || e.claimant != id {
		return
	}
	req := s.t.Requests.Get(id)
	if e.stage == stageHeld && (req == nil || req.Attempt == 0) {
		s.settle(now, e, state.ClaimNotRun, nil, out)
	}
}

// expired ends a request whose deadline has passed.
func (s *System) expired(now time.Duration, id state.RequestID, out *state.Outbox) {
	key, ok := s.open[id]
	e := s.entries[key]
	if !ok || e == nil || !s.isOpen(id) {
		return
	}
	if e.claimant != id {
		s.refuse(now, id, outcomeUnknown(), out)
		return
	}
	req := s.t.Requests.Get(id)
	switch {
	case e.stage == stageInsert:
		s.giveUp(now, e, deadlinePassed(), out)
	case e.stage == stageHeld && req.Attempt == 0:
		s.refuse(now, id, deadlinePassed(), out)
		s.settle(now, e, state.ClaimNotRun, nil, out)
	default:
		s.refuse(now, id, outcomeUnknown(), out)
	}
}
