// Package retry decides what follows the end of an attempt, creates and deletes the rows
// of requests and answers queries for their outcomes.
package retry

import (
	"math"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const (
	// endedRetention is how long the outcome of an ended request can be queried.
	endedRetention = 5 * time.Minute
	// maxEndedRequests bounds the ended requests in memory, about 1 KB each, when more
	// than that end within endedRetention.
	maxEndedRequests = 50_000
	// runningRecheckDelay is added to endedRetention when the deletion of an ended
	// request is postponed because its attempt still runs.
	runningRecheckDelay = time.Minute
	// disconnectGrace is how long an attempt continues for a caller that has
	// disconnected and cannot resume it.
	disconnectGrace = 5 * time.Second
)

// System is the retry system. It reads Peers. It creates and deletes the rows of Requests
// and writes the columns that depend on attempt events and on disconnected callers.
type System struct {
	tables             *state.Tables
	accountBudgets     map[state.AccountID]*budget
	targetBudgets      map[state.TargetID]*budget
	changedRequests    *state.DirtySet[state.RequestID]
	deadlines          *state.DueQueue[state.RequestID]
	resumeTimeouts     *state.DueQueue[state.RequestID]
	disconnectTimeouts *state.DueQueue[state.RequestID]
	// deletions holds the ended requests by the time at which their rows are deleted.
	deletions      *state.DueQueue[state.RequestID]
	outcomeQueries outcomeQueries
}

// New returns the retry system.
func New(tables *state.Tables) *System {
	return &System{
		tables: tables, accountBudgets: map[state.AccountID]*budget{}, targetBudgets: map[state.TargetID]*budget{},
		changedRequests: tables.Requests.Subscribe(),
		deadlines:       state.NewDueQueue[state.RequestID](), disconnectTimeouts: state.NewDueQueue[state.RequestID](),
		resumeTimeouts: state.NewDueQueue[state.RequestID](),
		deletions:      state.NewDueQueue[state.RequestID](), outcomeQueries: newOutcomeQueries(),
	}
}

// Step implements state.System.
func (s *System) Step(now time.Duration, in state.Input, out *state.Outbox) {
	for _, id := range s.changedRequests.Take() {
		if req := s.tables.Requests.Get(id); req != nil && req.Phase == state.RequestEnded {
			s.handleRequestEnd(req)
		}
	}
	switch in := in.(type) {
	case state.RequestArrived:
		s.handleArrival(now, in)
	case state.AttemptEvent:
		s.handleAttemptEvent(now, in, out)
	case state.CallerDisconnected:
		s.handleDisconnect(now, in.Request, out)
	case state.OutcomeRequested:
		s.handleOutcomeRequest(now, in, out)
	case state.PeerMessage:
		s.handlePeerMessage(in, out)
	}
	s.processTimers(now, out)
}

func (s *System) handleArrival(now time.Duration, arrival state.RequestArrived) {
	if s.tables.Requests.Get(arrival.ID) != nil {
		return
	}
	req := &state.Request{Arrival: arrival, ArrivedAt: now, Deadline: now + arrival.Timeout}
	if arrival.Resume != nil {
		req.Generation, req.Offset = arrival.Resume.Generation, arrival.Resume.Offset
	}
	s.tables.Requests.Put(arrival.ID, req)
	// The claims system ends requests with a claim at their deadlines.
	if !s.tables.NeedsClaim(req) {
		s.deadlines.Schedule(arrival.ID, req.Deadline)
	}
}

// handleRequestEnd schedules the deletion of an ended request and drops its prefix
// hashes, which only routing needs.
func (s *System) handleRequestEnd(req *state.Request) {
	s.deadlines.Cancel(req.Arrival.ID)
	s.disconnectTimeouts.Cancel(req.Arrival.ID)
	s.resumeTimeouts.Cancel(req.Arrival.ID)
	s.deletions.Schedule(req.Arrival.ID, req.EndedAt+endedRetention)
	req.Arrival.PrefixHashes = nil
}

func (s *System) processTimers(now time.Duration, out *state.Outbox) {
	for id, ok := s.deadlines.Pop(now); ok; id, ok = s.deadlines.Pop(now) {
		s.endAtDeadline(now, id, out)
	}
	for id, ok := s.resumeTimeouts.Pop(now); ok; id, ok = s.resumeTimeouts.Pop(now) {
		s.handleResumeTimeout(now, id, out)
	}
	for id, ok := s.disconnectTimeouts.Pop(now); ok; id, ok = s.disconnectTimeouts.Pop(now) {
		if req := s.tables.Requests.Get(id); req != nil && req.CallerDisconnected && !s.mayCallerResume(req) {
			s.tables.EndWithRefusal(now, req, callerDisconnectedError(apierror.Unknown), out)
		}
	}
	for id, ok := s.deletions.Pop(now); ok; id, ok = s.deletions.Pop(now) {
		s.deleteRequest(now, id)
	}
	// Requests whose attempts have not ended are scheduled again, so the number of
	// deletions is fixed before.
	for range s.deletions.Len() - maxEndedRequests {
		id, _ := s.deletions.Pop(math.MaxInt64)
		s.deleteRequest(now, id)
	}
	s.outcomeQueries.expire(now, out)
}

// deleteRequest deletes the row of an ended request. The in-flight counts need the row
// until its attempt has ended.
func (s *System) deleteRequest(now time.Duration, id state.RequestID) {
	if req := s.tables.Requests.Get(id); req != nil && req.HasRunningAttempt() {
		s.deletions.Schedule(id, now+endedRetention+runningRecheckDelay)
		return
	}
	s.tables.Requests.Delete(id)
}

// endAtDeadline ends a sent request at its deadline. The admission system ends queued
// requests.
func (s *System) endAtDeadline(now time.Duration, id state.RequestID, out *state.Outbox) {
	req := s.tables.Requests.Get(id)
	if req == nil || req.Phase != state.RequestSent {
		return
	}
	s.tables.EndWithRefusal(now, req, deadlinePassedError(apierror.Unknown), out)
}

// handleDisconnect ends a request whose caller has disconnected, after disconnectGrace if
// it may be running. A request that must not run more than once is never cancelled after
// it was sent.
func (s *System) handleDisconnect(now time.Duration, id state.RequestID, out *state.Outbox) {
	req := s.tables.Requests.Get(id)
	if req == nil || req.Phase == state.RequestEnded {
		return
	}
	req.CallerDisconnected = true
	switch {
	case req.Attempt == 0 && s.tables.NeedsClaim(req) && req.ClaimStatus == state.ClaimPending:
		// The key may belong to an earlier request that ran.
		s.tables.EndWithRefusal(now, req, callerDisconnectedError(apierror.Unknown), out)
	case !req.HasRunningAttempt() && !s.tables.NeedsClaim(req) || req.Attempt == 0:
		s.tables.EndWithRefusal(now, req, callerDisconnectedError(apierror.NotRun), out)
	case req.Arrival.AtMostOnce:
	default:
		s.disconnectTimeouts.Schedule(id, now+disconnectGrace)
	}
}

// mayCallerResume reports whether the caller can reconnect and resume the generation.
func (s *System) mayCallerResume(req *state.Request) bool {
	return req.Arrival.Kind == state.KindModel && req.Arrival.Stream && req.Generation != "" && req.HasRunningAttempt()
}
