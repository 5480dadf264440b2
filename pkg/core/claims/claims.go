// Package claims ensures that an at-most-once request is executed no more than once.
// A row in the table service reserves its idempotency key before it is sent.
package claims

import (
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const (
	// systemName identifies the store requests of this system.
	systemName = "claims"
	// maxRowAnswerBytes is the maximum size of an answer body that is stored in a
	// row. The object store holds larger ones.
	maxRowAnswerBytes = 64 << 10
	// maxPeerAnswerBytes is the maximum size of an answer body that is sent to a peer.
	// It leaves room for the envelope in a frame of 256 KiB.
	maxPeerAnswerBytes = 192 << 10
	// insertTimeout bounds the retries of an insert whose replies are lost.
	insertTimeout = 5 * time.Second
	// insertRetryDelay and persistRetryDelay are the delays before a write is retried.
	// The latter doubles with each failure, up to maxPersistRetryDelay.
	insertRetryDelay     = 100 * time.Millisecond
	persistRetryDelay    = 500 * time.Millisecond
	maxPersistRetryDelay = 8 * time.Second
	// storeDownThreshold is the number of consecutive unanswered store requests after
	// which the table service counts as down. One claim is then still attempted every
	// storeProbePeriod.
	storeDownThreshold = 3
	storeProbePeriod   = time.Second
	// pollPeriod is the interval between two queries to a holder or a service lookup.
	pollPeriod = 250 * time.Millisecond
	// lookupTimeout bounds the wait until a lookup finds an execution. After it the
	// caller receives an error with outcome unknown.
	lookupTimeout = 10 * time.Second
	// claimRetention is how long a claim in a final phase stays in memory.
	claimRetention = 5 * time.Minute
)

// stage is the progress of an entry.
type stage uint8

const (
	// stageInsert means that the claimant's row is being written.
	stageInsert stage = iota
	// stageHeld means that the row is stored and the claimant may be sent.
	stageHeld
	// stageFinal means that the claim has a final phase, which may not be stored yet.
	stageFinal
	// stageOtherHolder means that another process holds the row and that this node
	// polls for the outcome.
	stageOtherHolder
)

// storeOp is the purpose of a store request in flight.
type storeOp uint8

const (
	opInsert storeOp = iota
	opPutObject
	opPersist
	opReadRow
	opGetObject
)

// entry is this node's state for one idempotency key of an account.
type entry struct {
	key            string
	account        state.AccountID
	idempotencyKey string
	service        string
	claim          *state.Claim
	stage          stage
	// claimant is the request of this node that claims the key.
	claimant state.RequestID
	// waiters are the requests of this node that wait for the outcome of the claim.
	waiters []state.RequestID
	// storeRequest is the ID of the store request in flight, 0 for none.
	storeRequest uint64
	pendingOp    storeOp
	// writtenPhase is the phase that the write in flight stores.
	writtenPhase state.ClaimPhase
	// insertReplyLost is set once the reply to an insert was lost.
	insertReplyLost bool
	insertDeadline  time.Duration
	// unknownSince is when the outcome became unknown; negative while it is not.
	unknownSince time.Duration
	pollCount    int
	// persistFailures counts failed writes of the final phase.
	persistFailures int
	// objectStored is set once the answer is in the object store.
	objectStored bool
	// finalAt is when the phase became final; claimRetention counts from it.
	finalAt time.Duration
}

// System is the claims system. It reads Config, Peers and Requests. It writes Claims
// and the ClaimStatus of Requests.
type System struct {
	tables              *state.Tables
	entries             map[string]*entry
	entryByStoreRequest map[uint64]*entry
	entryTimers         *state.DueQueue[string]
	requestDeadlines    *state.DueQueue[state.RequestID]
	changedRequests     *state.DirtySet[state.RequestID]
	// claimKeys maps each unfinished request with a claim to the key of its claim row.
	claimKeys map[state.RequestID]string
	// unansweredStoreRequests counts consecutive store requests without an answer.
	unansweredStoreRequests int
	nextStoreProbeAt        time.Duration
}

// New returns the claims system.
func New(t *state.Tables) *System {
	return &System{
		tables: t, entries: map[string]*entry{}, entryByStoreRequest: map[uint64]*entry{},
		entryTimers: state.NewDueQueue[string](), requestDeadlines: state.NewDueQueue[state.RequestID](),
		changedRequests: t.Requests.Subscribe(), claimKeys: map[state.RequestID]string{},
	}
}

// Step implements state.System.
func (s *System) Step(now time.Duration, in state.Input, out *state.Outbox) {
	for _, id := range s.changedRequests.Take() {
		s.handleRequestChange(now, id, out)
	}
	switch in := in.(type) {
	case state.RequestArrived:
		if req := s.tables.Requests.Get(in.ID); req != nil && s.tables.NeedsClaim(req) && req.Phase != state.RequestEnded {
			s.handleArrival(now, req, out)
		}
	case state.StoreReply:
		if e := s.entryByStoreRequest[in.ID]; e != nil {
			delete(s.entryByStoreRequest, in.ID)
			s.unansweredStoreRequests++
			if in.Result == state.StoreOK || in.Result == state.StoreConflict {
				s.unansweredStoreRequests = 0
			}
			e.storeRequest = 0
			s.handleStoreReply(now, e, in, out)
		}
	case state.AttemptEvent:
		s.handleAttemptEvent(now, in, out)
	case state.PeerMessage:
		s.handlePeerMessage(now, in, out)
	case state.LookupResult:
		s.handleLookupResult(now, in, out)
	}
	s.runTimers(now, out)
}

func (s *System) runTimers(now time.Duration, out *state.Outbox) {
	for {
		id, ok := s.requestDeadlines.Pop(now)
		if !ok {
			break
		}
		s.handleDeadline(now, id, out)
	}
	for {
		key, ok := s.entryTimers.Pop(now)
		if !ok {
			return
		}
		if e := s.entries[key]; e != nil {
			s.advanceEntry(now, e, out)
		}
	}
}

// advanceEntry performs the due work of an entry: it retries a write, polls for the
// outcome or removes an expired entry.
func (s *System) advanceEntry(now time.Duration, e *entry, out *state.Outbox) {
	switch e.stage {
	case stageInsert:
		s.insertRow(e, out)
	case stageHeld:
	case stageOtherHolder:
		s.pollOutcome(now, e, out)
	case stageFinal:
		if !e.claim.Stored {
			s.persist(e, out)
		}
		if e.claim.Row.Phase == state.ClaimUnknown && len(e.waiters) > 0 {
			s.pollOutcome(now, e, out)
			return
		}
		if !e.claim.Stored || len(e.waiters) > 0 {
			return
		}
		if now-e.finalAt >= claimRetention && e.storeRequest == 0 {
			s.removeEntry(e)
			return
		}
		s.entryTimers.Schedule(e.key, max(e.finalAt+claimRetention, now+pollPeriod))
	}
}

func (s *System) removeEntry(e *entry) {
	delete(s.entries, e.key)
	s.entryTimers.Cancel(e.key)
	s.tables.Claims.Delete(e.key)
}

// handleArrival claims the key of a new request, or adds the request to the waiters of
// an existing entry.
func (s *System) handleArrival(now time.Duration, req *state.Request, out *state.Outbox) {
	key := state.KeyClaim(req.Arrival.Account, req.Arrival.IdempotencyKey)
	req.ClaimStatus = state.ClaimPending
	s.claimKeys[req.Arrival.ID] = key
	s.requestDeadlines.Schedule(req.Arrival.ID, req.Deadline)
	e := s.entries[key]
	if e == nil && s.isStoreDown(now) {
		s.refuse(now, req.Arrival.ID, s.storeDownError(), out)
		return
	}
	if e == nil {
		e = &entry{
			key: key, account: req.Arrival.Account, idempotencyKey: req.Arrival.IdempotencyKey, service: req.Arrival.Service,
			claim: &state.Claim{}, unknownSince: -1,
		}
		s.entries[key] = e
		s.tables.Claims.Put(key, e.claim)
		s.startClaim(now, e, req.Arrival.ID, out)
		return
	}
	e.waiters = append(e.waiters, req.Arrival.ID)
	s.serveWaiters(now, e, out)
}

// isStoreDown reports whether a claim must be refused without an attempt to write it.
// Otherwise each request would wait for the timeout of the call while the table
// service does not answer. It lets one attempt pass every storeProbePeriod.
func (s *System) isStoreDown(now time.Duration) bool {
	if s.unansweredStoreRequests < storeDownThreshold {
		return false
	}
	if now >= s.nextStoreProbeAt {
		s.nextStoreProbeAt = now + storeProbePeriod
		return false
	}
	return true
}

// serveWaiters processes the waiting requests according to the phase of the claim.
func (s *System) serveWaiters(now time.Duration, e *entry, out *state.Outbox) {
	row := &e.claim.Row
	s.refuseOtherBodies(now, e, out)
	if e.stage != stageFinal || len(e.waiters) == 0 {
		return
	}
	switch row.Phase {
	case state.ClaimDone:
		s.answerWaiters(now, e, out)
	case state.ClaimNotRun:
		// A new claim waits until phase ClaimNotRun is stored, because its write is
		// conditional on the revision of that row.
		if e.claim.Stored && e.storeRequest == 0 {
			s.claimForNextWaiter(now, e, out)
		}
	case state.ClaimUnknown:
		if e.unknownSince < 0 {
			e.unknownSince = now
		}
		s.pollOutcome(now, e, out)
	case state.ClaimNone, state.ClaimHeld:
	}
}

// claimForNextWaiter claims the key for the first waiter that has not ended.
func (s *System) claimForNextWaiter(now time.Duration, e *entry, out *state.Outbox) {
	for len(e.waiters) > 0 {
		id := e.waiters[0]
		e.waiters = e.waiters[1:]
		if s.isOpen(id) {
			s.startClaim(now, e, id, out)
			return
		}
	}
	s.entryTimers.Schedule(e.key, now+claimRetention)
}

// refuseOtherBodies refuses waiters whose body differs from that of the claim. After a
// claim that was not run, the key may be used with any body.
func (s *System) refuseOtherBodies(now time.Duration, e *entry, out *state.Outbox) {
	if e.claim.Row.Phase == state.ClaimNotRun || e.claim.Row.Phase == state.ClaimNone {
		return
	}
	remaining := e.waiters[:0]
	for _, id := range e.waiters {
		req := s.tables.Requests.Get(id)
		if !s.isOpen(id) {
			continue
		}
		if req.Arrival.BodyHash != e.claim.Row.BodyHash {
			s.refuse(now, id, keyReusedError(), out)
			continue
		}
		remaining = append(remaining, id)
	}
	e.waiters = remaining
}

// answerWaiters sends the answer of the claim to the waiting requests. It first reads
// an answer that is only in the object store.
func (s *System) answerWaiters(now time.Duration, e *entry, out *state.Outbox) {
	row := &e.claim.Row
	if row.Answer == nil && row.AnswerObjectKey != "" {
		if e.storeRequest == 0 {
			s.sendStoreRequest(e, opGetObject, state.StoreRequest{GetObject: row.AnswerObjectKey}, out)
		}
		return
	}
	waiters := e.waiters
	e.waiters = nil
	for _, id := range waiters {
		if !s.isOpen(id) {
			continue
		}
		delete(s.claimKeys, id)
		s.requestDeadlines.Cancel(id)
		req := s.tables.Requests.Get(id)
		if row.Answer == nil {
			s.tables.EndWithRefusal(now, req, answerUnreadableError(), out)
			continue
		}
		s.tables.EndWithAnswer(now, req, state.Reply{Answer: row.Answer, Replayed: id != row.Request}, out)
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
	delete(s.claimKeys, id)
	s.requestDeadlines.Cancel(id)
	s.tables.EndWithRefusal(now, s.tables.Requests.Get(id), refusal, out)
}

func (s *System) isOpen(id state.RequestID) bool {
	req := s.tables.Requests.Get(id)
	return req != nil && req.Phase != state.RequestEnded
}

// handleRequestChange stores phase ClaimNotRun for a claimant that ended before it was
// sent.
func (s *System) handleRequestChange(now time.Duration, id state.RequestID, out *state.Outbox) {
	key, ok := s.claimKeys[id]
	if !ok || s.isOpen(id) {
		return
	}
	delete(s.claimKeys, id)
	s.requestDeadlines.Cancel(id)
	e := s.entries[key]
	if e == nil || e.claimant != id {
		return
	}
	req := s.tables.Requests.Get(id)
	if e.stage == stageHeld && (req == nil || req.Attempt == 0) {
		s.setFinalPhase(now, e, state.ClaimNotRun, nil, out)
	}
}

// handleDeadline ends a request whose deadline has passed.
func (s *System) handleDeadline(now time.Duration, id state.RequestID, out *state.Outbox) {
	key, ok := s.claimKeys[id]
	e := s.entries[key]
	if !ok || e == nil || !s.isOpen(id) {
		return
	}
	if e.claimant != id {
		s.refuse(now, id, outcomeUnknownError(), out)
		return
	}
	req := s.tables.Requests.Get(id)
	switch {
	case e.stage == stageInsert:
		s.abandonInsert(now, e, deadlinePassedError(), out)
	case e.stage == stageHeld && req.Attempt == 0:
		s.refuse(now, id, deadlinePassedError(), out)
		s.setFinalPhase(now, e, state.ClaimNotRun, nil, out)
	default:
		s.refuse(now, id, outcomeUnknownError(), out)
	}
}
