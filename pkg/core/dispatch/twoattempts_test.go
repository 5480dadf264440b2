package dispatch

import (
	"flag"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// settlingTicks is the number of ticks of 100 ms after which all avoided and suspect targets
// are eligible again, and all attempts have ended.
const settlingTicks = 50

// modelAttempt is an attempt of the modelled gateway.
type modelAttempt struct {
	number, eventsBefore          int
	events                        int
	stalled, cancelled, ended     bool
	failedItself, completedItself bool
	// replaced is set if the attempt was cancelled after another one had delivered.
	replaced bool
	// unsent holds the events that the goroutine of the attempt has not yet passed on.
	unsent []state.AttemptEvent
}

// modelExchange applies the rules of the gateway to the attempts of one request: the
// attempt that delivers first continues the answer, the other one is superseded.
type modelExchange struct {
	t                     *rapid.T
	id                    state.RequestID
	maxAttempts           int
	deadline              time.Duration
	waiting               []state.StartAttempt
	attempts              map[int]*modelAttempt
	cancelled             []int
	started               int
	delivering, delivered int
	// deliveredAtStall is delivered at the last stall of an attempt.
	deliveredAtStall int
	answerStarted    bool
	callerGone       bool
	reply            *state.Reply
}

func (e *modelExchange) mayDeliver(a *modelAttempt) bool {
	return e.delivering == a.number || e.delivered == a.eventsBefore
}

// begin starts the next waiting attempt unless an earlier one must end first.
func (e *modelExchange) begin() {
	if len(e.waiting) == 0 || e.reply != nil {
		return
	}
	start := e.waiting[0]
	if !start.KeepPrevious {
		for _, a := range e.attempts {
			if !a.ended || len(a.unsent) > 0 {
				return
			}
		}
	}
	e.waiting = e.waiting[1:]
	a := &modelAttempt{number: start.Attempt, eventsBefore: e.delivered, cancelled: slices.Contains(e.cancelled, start.Attempt)}
	if start.KeepPrevious {
		a.eventsBefore = e.deliveredAtStall
	}
	a.replaced = a.cancelled && e.delivering != 0
	e.attempts[start.Attempt] = a
	if !e.mayDeliver(a) {
		e.end(a, state.FailureCancelled, apierror.NotRun)
	}
}

func (e *modelExchange) event(a *modelAttempt, stage state.AttemptStage) state.AttemptEvent {
	return state.AttemptEvent{Request: e.id, Attempt: a.number, Stage: stage, AnswerStarted: e.answerStarted, Outcome: apierror.Unknown}
}

func (e *modelExchange) end(a *modelAttempt, failure state.AttemptFailure, outcome apierror.Outcome) {
	ev := e.event(a, state.AttemptEnded)
	ev.Failure, ev.Outcome, ev.EventCount = failure, outcome, a.events
	a.ended = true
	a.unsent = append(a.unsent, ev)
}

// act lets an attempt stall, deliver, complete or fail.
func (e *modelExchange) act(a *modelAttempt, action string) {
	if a.ended || len(a.unsent) > 0 {
		return
	}
	switch {
	case a.cancelled:
		e.end(a, state.FailureCancelled, apierror.Unknown)
	case action == "stall":
		if !a.stalled {
			a.stalled = true
			if e.mayDeliver(a) {
				e.deliveredAtStall = e.delivered
			}
			a.unsent = append(a.unsent, e.event(a, state.AttemptStalled))
		}
	case action == "lost":
		a.failedItself = true
		e.end(a, state.FailureConnectionLost, apierror.Unknown)
	case action == "refused" && a.events == 0:
		a.failedItself = true
		e.end(a, state.FailureTargetRefused, apierror.NotRun)
	case action == "complete" && a.events == 0, action == "refused":
		// A stream that completes has delivered an event.
	case !e.mayDeliver(a):
		e.end(a, state.FailureCancelled, apierror.Unknown)
	case action == "complete":
		a.completedItself = true
		e.delivering = a.number
		e.delivered++
		e.end(a, state.FailureNone, apierror.Done)
	default:
		e.deliver(a)
	}
}

func (e *modelExchange) deliver(a *modelAttempt) {
	for _, other := range e.attempts {
		if other.completedItself {
			e.t.Fatalf("request %s: attempt %d delivers after attempt %d has completed the answer", e.id, a.number, other.number)
		}
	}
	e.delivering, e.answerStarted = a.number, true
	e.delivered++
	a.events++
	if a.stalled {
		a.stalled = false
		a.unsent = append(a.unsent, e.event(a, state.AttemptStallEnded))
	}
	if a.events == 1 {
		a.unsent = append(a.unsent, e.event(a, state.AttemptFirstByte))
	}
}

func (e *modelExchange) start(s state.StartAttempt) {
	e.started++
	if s.Attempt != e.started || e.started > e.maxAttempts {
		e.t.Fatalf("request %s: start %d has number %d, with at most %d attempts", e.id, e.started, s.Attempt, e.maxAttempts)
	}
	e.waiting = append(e.waiting, s)
}

func (e *modelExchange) cancel(number int) {
	e.cancelled = append(e.cancelled, number)
	if a := e.attempts[number]; a != nil {
		if e.delivering == number && !a.ended && e.reply == nil {
			e.t.Fatalf("request %s: attempt %d is cancelled although it was the last to deliver", e.id, number)
		}
		a.cancelled, a.replaced = true, e.delivering != 0 && e.delivering != number
	}
}

// answer checks that a request whose caller waits is refused only if no attempt could still
// deliver.
func (e *modelExchange) answer(now time.Duration, reply state.Reply) {
	if e.reply != nil {
		e.t.Fatalf("request %s has two replies", e.id)
	}
	e.reply = &reply
	if reply.Refusal == nil {
		if e.delivering == 0 || !e.attempts[e.delivering].completedItself {
			e.t.Fatalf("request %s is answered although attempt %d has not completed it", e.id, e.delivering)
		}
	} else if !e.callerGone && now < e.deadline {
		for _, start := range e.waiting {
			if !slices.Contains(e.cancelled, start.Attempt) {
				e.t.Fatalf("request %s is refused (%s) while attempt %d waits to begin", e.id, reply.Refusal.Code, start.Attempt)
			}
		}
		for _, a := range e.attempts {
			if e.mayDeliver(a) && !a.failedItself && !a.replaced {
				e.t.Fatalf("request %s is refused (%s) although attempt %d could deliver", e.id, reply.Refusal.Code, a.number)
			}
		}
	}
	for _, a := range e.attempts {
		a.cancelled = true
	}
}

// attemptSchedule runs several requests with random stages and ends of their attempts.
type attemptSchedule struct {
	t           *rapid.T
	r           *rig
	exchanges   []*modelExchange
	seenStarts  int
	seenCancels int
	seenReplies int
	// inbox holds the inputs that the core has not yet processed.
	inbox []state.AttemptEvent
}

// observe applies the outputs of the last step to the exchanges.
func (s *attemptSchedule) observe() {
	find := func(id state.RequestID) *modelExchange {
		return s.exchanges[slices.IndexFunc(s.exchanges, func(e *modelExchange) bool { return e.id == id })]
	}
	for _, start := range s.r.starts[s.seenStarts:] {
		find(start.Request).start(start)
	}
	for _, reply := range s.r.replies[s.seenReplies:] {
		find(reply.Request).answer(s.r.now, reply)
	}
	for _, c := range s.r.cancels[s.seenCancels:] {
		find(c.Request).cancel(c.Attempt)
	}
	s.seenStarts, s.seenReplies, s.seenCancels = len(s.r.starts), len(s.r.replies), len(s.r.cancels)
}

func (s *attemptSchedule) pass(a *modelAttempt) {
	if len(a.unsent) > 0 {
		s.inbox = append(s.inbox, a.unsent[0])
		a.unsent = a.unsent[1:]
	}
}

func (s *attemptSchedule) process() {
	if len(s.inbox) > 0 {
		ev := s.inbox[0]
		s.inbox = s.inbox[1:]
		s.r.step(ev)
		s.observe()
	}
}

func (s *attemptSchedule) processAll() {
	for len(s.inbox) > 0 {
		s.process()
	}
}

// settle passes on and processes all events of all attempts.
func (s *attemptSchedule) settle() {
	for _, e := range s.exchanges {
		for _, number := range slices.Sorted(maps.Keys(e.attempts)) {
			for a := e.attempts[number]; len(a.unsent) > 0; {
				s.pass(a)
			}
		}
	}
	s.processAll()
}

// runAttemptSchedule checks random schedules. If prompt is set, the core processes each
// event at once; otherwise other attempts act meanwhile.
func runAttemptSchedule(t *testing.T, maxAttempts int, prompt bool) {
	rapid.Check(t, func(rt *rapid.T) {
		s := &attemptSchedule{t: rt, r: newRig(t, rapid.IntRange(2, 4).Draw(rt, "groups"))}
		s.r.tables.Managed.PlatformConfig.Routes[0].MaxAttempts = maxAttempts
		for range rapid.IntRange(1, 3).Draw(rt, "requests") {
			e := &modelExchange{t: rt, maxAttempts: maxAttempts, attempts: map[int]*modelAttempt{}}
			s.exchanges = append(s.exchanges, e)
			e.id = s.r.sendRequest("/a/", 10)
			e.deadline = s.r.tables.Requests.Get(e.id).Deadline
			s.observe()
		}
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			s.step(prompt)
		}
		s.finish(rt)
	})
}

func (s *attemptSchedule) step(prompt bool) {
	e := s.exchanges[rapid.IntRange(0, len(s.exchanges)-1).Draw(s.t, "request")]
	switch action := rapid.SampledFrom([]string{
		"begin", "begin", "deliver", "deliver", "deliver", "stall", "stall", "stall", "refused", "lost", "complete", "pass", "process", "process", "tick", "tick", "leave",
	}).Draw(s.t, "action"); action {
	case "begin":
		e.begin()
	case "tick":
		s.processAll()
		for range rapid.IntRange(1, 20).Draw(s.t, "ticks") {
			s.r.advance(10 * time.Millisecond)
			s.observe()
		}
	case "process":
		s.process()
	case "leave":
		if rapid.IntRange(0, 9).Draw(s.t, "leaves") == 0 && e.reply == nil {
			e.callerGone = true
			s.r.step(state.CallerDisconnected{Request: e.id})
			s.observe()
		}
	default:
		if len(e.attempts) == 0 {
			return
		}
		a := e.attempts[rapid.SampledFrom(slices.Sorted(maps.Keys(e.attempts))).Draw(s.t, "attempt")]
		switch {
		case action == "pass":
			s.pass(a)
		case action == "stall" && slices.ContainsFunc(s.inbox, func(ev state.AttemptEvent) bool { return ev.Request == e.id && ev.Attempt == a.number }):
			// The stall timeout is longer than the time for which a decision is valid, so
			// the core has processed the last event, or no attempt begins meanwhile.
		default:
			e.act(a, action)
		}
	}
	if prompt {
		s.settle()
	}
}

// finish lets all attempts go on to their ends and checks that nothing is left.
func (s *attemptSchedule) finish(rt *rapid.T) {
	startedAt := s.r.now
	for range settlingTicks {
		s.settle()
		for _, e := range s.exchanges {
			e.begin()
			for _, number := range slices.Sorted(maps.Keys(e.attempts)) {
				e.act(e.attempts[number], "deliver")
				s.settle()
				e.act(e.attempts[number], "complete")
				s.settle()
			}
		}
		s.r.advance(100 * time.Millisecond)
		s.observe()
	}
	s.r.advance(10 * time.Second)
	s.observe()
	for _, e := range s.exchanges {
		if e.reply == nil {
			rt.Fatalf("request %s has no reply", e.id)
		}
		if startedAt+settlingTicks*100*time.Millisecond < e.deadline && e.reply.Refusal != nil && e.reply.Refusal.Code == "deadline_passed" {
			rt.Fatalf("request %s ends at its deadline although all its attempts have ended", e.id)
		}
	}
	for id, target := range s.r.system.targets {
		if target.load != (state.TargetLoad{Target: id}) || len(target.activeRequests) != 0 {
			rt.Fatalf("target %s keeps load %+v and %d requests", id, target.load, len(target.activeRequests))
		}
	}
}

// TestTwoAttemptsWithPromptEvents guards against a request that is refused, left without a
// reply or answered twice, and against load that stays counted, while a silent attempt is
// kept beside its replacement.
func TestTwoAttemptsWithPromptEvents(t *testing.T) { runAttemptSchedule(t, 2, true) }

// TestTwoAttemptsWithDelayedEvents is the same where other attempts act before the core has
// processed an event.
func TestTwoAttemptsWithDelayedEvents(t *testing.T) { runAttemptSchedule(t, 2, false) }

// TestThreeAttemptsWithPromptEvents is the same where a replacement that is silent, too, is
// replaced again.
func TestThreeAttemptsWithPromptEvents(t *testing.T) { runAttemptSchedule(t, 3, true) }

// init runs enough schedules to reach those in which several attempts are silent. The flag
// -rapid.checks overrides it.
func init() { _ = flag.Set("rapid.checks", "1000") }
