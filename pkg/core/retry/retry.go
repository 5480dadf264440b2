// Package retry decides what follows the end of an attempt, keeps the rows of
// requests and answers questions about their outcomes.
package retry

import (
	"math"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const (
	// keepFor is how long an ended request can be asked for.
	keepFor = 5 * time.Minute
	// maxKept bounds the ended requests in memory, about 1 KB each, when more
	// than that end within keepFor.
	maxKept = 50_000
	// keepRunning is the pause between checks of an ended request whose attempt
	// has not ended.
	keepRunning = time.Minute
	// goneGrace is how long an attempt runs on for a caller that is gone and
	// cannot resume it.
	goneGrace = 5 * time.Second
)

// System reads Targets; it creates and deletes the rows of Requests and writes
// the columns that follow from attempts and from a caller that is gone.
type System struct {
	t         *state.Tables
	accounts  map[state.AccountID]*budget
	targets   map[state.TargetID]*budget
	changed   *state.DirtySet[state.RequestID]
	deadlines *state.DueQueue[state.RequestID]
	resumes   *state.DueQueue[state.RequestID]
	gone      *state.DueQueue[state.RequestID]
	deletions *state.DueQueue[state.RequestID]
	questions questions
}

// New returns the retry system.
func New(t *state.Tables) *System {
	return &System{
		t: t, accounts: map[state.AccountID]*budget{}, targets: map[state.TargetID]*budget{},
		changed:   t.Requests.Subscribe(),
		deadlines: state.NewDueQueue[state.RequestID](), gone: state.NewDueQueue[state.RequestID](),
		resumes:   state.NewDueQueue[state.RequestID](),
		deletions: state.NewDueQueue[state.RequestID](), questions: newQuestions(),
	}
}

// Step implements state.System.
func (s *System) Step(now time.Duration, in state.Input, out *state.Outbox) {
	for _, id := range s.changed.Take() {
		if req := s.t.Requests.Get(id); req != nil && req.Phase == state.RequestEnded {
			s.ended(req)
		}
	}
	switch in := in.(type) {
	case state.RequestArrived:
		s.arrived(now, in)
	case state.AttemptEvent:
		s.attempted(now, in, out)
	case state.CallerDisconnected:
		s.callerGone(now, in.Request, out)
	case state.OutcomeRequested:
		s.asked(now, in, out)
	case state.PeerMessage:
		s.message(in, out)
	}
	s.timers(now, out)
}

func (s *System) arrived(now time.Duration, a state.RequestArrived) {
	if s.t.Requests.Get(a.ID) != nil {
		return
	}
	req := &state.Request{Arrival: a, ArrivedAt: now, Deadline: now + a.Timeout}
	if a.Resume != nil {
		req.Generation, req.Offset = a.Resume.Generation, a.Resume.Offset
	}
	s.t.Requests.Put(a.ID, req)
	// The claims system ends requests with a claim at their deadlines.
	if !s.t.NeedsClaim(req) {
		s.deadlines.Schedule(a.ID, req.Deadline)
	}
}

// ended schedules the deletion of a row and drops what only routing needs.
func (s *System) ended(req *state.Request) {
	s.deadlines.Cancel(req.Arrival.ID)
	s.gone.Cancel(req.Arrival.ID)
	s.resumes.Cancel(req.Arrival.ID)
	s.deletions.Schedule(req.Arrival.ID, req.EndedAt+keepFor)
	req.Arrival.PrefixHashes = nil
}

func (s *System) timers(now time.Duration, out *state.Outbox) {
	for id, ok := s.deadlines.Pop(now); ok; id, ok = s.deadlines.Pop(now) {
		s.expired(now, id, out)
	}
	for id, ok := s.resumes.Pop(now); ok; id, ok = s.resumes.Pop(now) {
		s.resumeTimedOut(now, id, out)
	}
	for id, ok := s.gone.Pop(now); ok; id, ok = s.gone.Pop(now) {
		if req := s.t.Requests.Get(id); req != nil && req.CallerDisconnected && !s.mayBeResumed(req) {
			s.t.EndWithRefusal(now, req, callerGone(apierror.Unknown), out)
		}
	}
	for id, ok := s.deletions.Pop(now); ok; id, ok = s.deletions.Pop(now) {
		s.delete(now, id)
	}
	for s.deletions.Len() > maxKept {
		id, _ := s.deletions.Pop(math.MaxInt64)
		s.delete(now, id)
	}
	s.questions.expire(now, out)
}

// delete removes the row of an ended request. The in-flight counts need the row
// until its attempt has ended.
func (s *System) delete(now time.Duration, id state.RequestID) {
	if req := s.t.Requests.Get(id); req != nil && req.HasRunningAttempt() {
		s.deletions.Schedule(id, now+keepFor+keepRunning)
		return
	}
	s.t.Requests.Delete(id)
}

// expired ends a request whose attempt is under way at its deadline. The
// admission system does it for requests in its queue.
func (s *System) expired(now time.Duration, id state.RequestID, out *state.Outbox) {
	req := s.t.Requests.Get(id)
	if req == nil || req.Phase != state.RequestSent {
		return
	}
	s.t.EndWithRefusal(now, req, deadlinePassed(apierror.Unknown), out)
}

// callerGone ends what nobody waits for. A request that may not be repeated is
// never cancelled once it is sent.
func (s *System) callerGone(now time.Duration, id state.RequestID, out *state.Outbox) {
	req := s.t.Requests.Get(id)
	if req == nil || req.Phase == state.RequestEnded {
		return
	}
	req.CallerDisconnected = true
	switch {
	case req.Attempt == 0 && s.t.NeedsClaim(req) && req.ClaimStatus == state.ClaimPending:
		// The key may belong to an earlier request that ran.
		s.t.EndWithRefusal(now, req, callerGone(apierror.Unknown), out)
	case !req.HasRunningAttempt() && !s.t.NeedsClaim(req) || req.Attempt == 0:
		s.t.EndWithRefusal(now, req, callerGone(apierror.NotRun), out)
	case req.Arrival.AtMostOnce:
	default:
		s.gone.Schedule(id, now+goneGrace)
	}
}

// mayBeResumed reports whether the caller may come back for the generation.
func (s *System) mayBeResumed(req *state.Request) bool {
	return req.Arrival.Kind == state.KindModel && req.Arrival.Stream && req.Generation != "" && req.HasRunningAttempt()
}
