// Package claims makes sure that a request that may not be repeated runs at
// most once.
package claims

import (
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const (
	systemName = "claims"
	// maxRowAnswerBytes is the largest answer body in a row, in bytes.
	maxRowAnswerBytes = 64 << 10
	// maxPeerAnswerBytes leaves room for the envelope in a frame of 256 KiB.
	maxPeerAnswerBytes = 192 << 10
	// insertTimeout bounds the time for an insert whose answers are lost.
	insertTimeout = 5 * time.Second
	// insertRetryDelay and persistAgain are the pauses before a write is repeated.
	insertRetryDelay  = 100 * time.Millisecond
	persistRetryDelay = 500 * time.Millisecond
	// maxPersistRetryDelay bounds the pause, which doubles while the write fails.
	maxPersistRetryDelay = 8 * time.Second
	// storeDownThreshold is the number of store requests in a row without an answer after
	// which the table service counts as down; probePeriod is the period at which
	// one claim is still tried.
	storeDownThreshold = 3
	storeProbePeriod   = time.Second
	// pollPeriod is the period of questions to a holder or to a lookup.
	pollPeriod = 250 * time.Millisecond
	// lookupTimeout bounds the wait for a lookup to find an execution. After it the
	// caller is told that the outcome is unknown.
	lookupTimeout = 10 * time.Second
	// claimRetention is how long a settled claim stays in memory.
	claimRetention = 5 * time.Minute
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
	// stageOtherHolder watches a row that another process holds.
	stageOtherHolder
)

// storeOp is what a store request in flight is for.
type storeOp uint8

const (
	opInsert storeOp = iota
	opPutObject
	opPersist
	opReadRow
	opGetObject
)

// entry is the work of this node on one key.
type entry struct {
	key            string
	account        state.AccountID
	idempotencyKey string
	service        string
	claim          *state.Claim
	stage          stage
	// claimant is the request of this node that the row is for.
	claimant state.RequestID
	waiters  []state.RequestID
	// storeRequest is the id of the store request in flight, 0 for none.
	storeRequest uint64
	pendingOp    storeOp
	// writtenPhase is the phase that the write in flight stores.
	writtenPhase state.ClaimPhase
	// insertReplyLost is set once the answer of an insert was lost.
	insertReplyLost bool
	insertDeadline  time.Duration
	// unknownSince is when the outcome became unknown; negative while it is not.
	unknownSince time.Duration
	pollCount    int
	// persistFailures counts failed writes of the final phase.
	persistFailures int
	objectStored    bool
	finalAt         time.Duration
}

// System reads Config, Peers and Requests; it writes Claims and the Gate column
// of Requests.
type System struct {
	tables              *state.Tables
	entries             map[string]*entry
	entryByStoreRequest map[uint64]*entry
	entryTimers         *state.DueQueue[string]
	requestDeadlines    *state.DueQueue[state.RequestID]
	changedRequests     *state.DirtySet[state.RequestID]
	// claimKeys maps each request with a claim that has not ended to its key.
	claimKeys map[state.RequestID]string
	// unansweredStoreRequests counts store requests in a row without an answer.
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

// advanceEntry does what is due on an entry.
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

// handleArrival takes in a request that needs a claim.
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

// isStoreDown reports whether a claim need not be tried. A service that answers
// nothing would otherwise hold each request for the time-out of the call.
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

// serveWaiters gives the waiting requests what the entry's state allows.
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
		// A new claim waits until the old row is marked: the condition of its
		// write is the revision of that mark.
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

// claimForNextWaiter claims the key for the first waiter that is still there.
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

// refuseOtherBodies refuses waiters whose body is not that of the claim. A claim
// that was not run frees its key for any body.
func (s *System) refuseOtherBodies(now time.Duration, e *entry, out *state.Outbox) {
	if e.claim.Row.Phase == state.ClaimNotRun || e.claim.Row.Phase == state.ClaimNone {
		return
	}
	kept := e.waiters[:0]
	for _, id := range e.waiters {
		req := s.tables.Requests.Get(id)
		if !s.isOpen(id) {
			continue
		}
		if req.Arrival.BodyHash != e.claim.Row.BodyHash {
			s.refuse(now, id, keyReusedError(), out)
			continue
		}
		kept = append(kept, id)
	}
	e.waiters = kept
}

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

// handleRequestChange marks the row of a claimant that ended without being sent.
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
