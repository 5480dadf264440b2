package admission

import (
	"log/slog"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

// dispatch sends what the targets can take, in the order of the fair queue. It
// ends when each account is empty, at its limit or blocked.
func (s *System) dispatch(now time.Duration, out *state.Outbox) {
	if !s.t.Config.Fresh && !s.t.Switches.IgnoreFreshness {
		return
	}
	q := s.queue
	// An account that is blocked keeps its turn and its credit, or each event
	// without room would move the turn on. Others are served past it.
	past, granted := 0, false
	for len(q.ring) > 0 {
		if past >= len(q.ring) {
			if !granted {
				return
			}
			past, granted = 0, false
		}
		a := q.ring[(q.pos+past)%len(q.ring)]
		it := s.eligible(now, a)
		if it == nil {
			past++
			continue
		}
		q.grant(a)
		if a.deficit < it.cost {
			a.granted = false
			if past == 0 {
				q.pos = (q.pos + 1) % len(q.ring)
				continue
			}
			granted = true
			past++
			continue
		}
		req := s.t.Requests.Get(it.id)
		target, ok := s.picker.Pick(now, req, out)
		it.class.meter.limit(now, !ok)
		if !ok {
			it.class.blocked = q.epoch
			continue
		}
		a.meter.limit(now, false)
		s.start(now, req, it, target, out)
		if a.count == 0 {
			past = 0
		}
	}
}

// eligible returns the request that an account may send next.
func (s *System) eligible(now time.Duration, a *account) *item {
	it := s.queue.next(a)
	// A generation that is resumed still runs and counts at its target.
	if it == nil || it.resume || s.hasRoom(it.owner) {
		return it
	}
	a.meter.limit(now, true)
	return nil
}

// start sends an attempt of a request.
func (s *System) start(now time.Duration, req *state.Request, it *item, target state.TargetID, out *state.Outbox) {
	a := &req.Arrival
	s.queue.start(now, it)
	s.bounds.Cancel(a.ID)
	s.countQueued(a.Account, -1)
	req.Phase, req.Target, req.SentAt = state.RequestSent, target, now
	req.Attempt++
	s.running[a.ID] = attempt{number: req.Attempt, account: a.Account, class: it.class, cost: it.cost, startAt: now}
	if row := s.t.Accounts.Get(a.Account); row != nil {
		row.InFlight++
		row.Deficit = it.queue.deficit
		s.t.Accounts.Touch(a.Account)
	}
	var resume *state.ResumePoint
	if req.NextStep == state.NextResume || a.Resume != nil {
		resume = &state.ResumePoint{Target: target, Generation: req.Generation, Offset: req.Offset}
	}
	out.Add(state.StartAttempt{
		Request: a.ID, Attempt: req.Attempt, Target: target, Address: s.t.Targets.Get(target).Address,
		Resume: resume, NewConnection: !a.IsIdempotent() || resume != nil, Timeout: req.Deadline - now, DecidedAt: now,
	})
}

func (s *System) refuse(now time.Duration, req *state.Request, refusal *apierror.Error, out *state.Outbox) {
	s.remove(now, req.Arrival.ID)
	out.Log(event.RequestRefused, slog.String("request", string(req.Arrival.ID)),
		slog.String("account", string(req.Arrival.Account)), slog.String("code", refusal.Code))
	s.t.EndWithRefusal(now, req, refusal, out)
}

// waitedTooLong names the reason why a request waited in vain.
func (s *System) waitedTooLong(now time.Duration, req *state.Request) *apierror.Error {
	after := s.t.JitteredRetryAfter(s.queue.expected(now, req))
	switch {
	case !s.t.Config.Fresh:
		return apierror.New(apierror.KindStale, "configuration_stale",
			"this entry host cannot confirm the configuration in force; send the request again", apierror.NotRun).WithRetryAfter(after)
	case now >= req.Deadline:
		return deadlinePassed().WithRetryAfter(after)
	default:
		return apierror.New(apierror.KindOverloaded, "queue_timeout",
			"no target had room in time; send the request again later", apierror.NotRun).WithRetryAfter(after)
	}
}

func (s *System) tooLate(wait time.Duration) *apierror.Error {
	return apierror.New(apierror.KindOverloaded, "deadline_unreachable",
		"the queue is too long for the deadline; send the request again later or with a later deadline",
		apierror.NotRun).WithRetryAfter(s.t.JitteredRetryAfter(wait))
}

// notServed tells an unknown model or service from one that has no target now.
func (s *System) notServed(req *state.Request) *apierror.Error {
	if req.Arrival.Resume != nil || req.NextStep == state.NextResume {
		return apierror.New(apierror.KindTargetLost, "generation_lost",
			"the target of the generation takes no work; send the request again from its start", apierror.Unknown)
	}
	if !s.declared(&req.Arrival) {
		return apierror.New(apierror.KindNotFound, "not_declared",
			"no such model or service is declared; check the name", apierror.NotRun)
	}
	return apierror.New(apierror.KindUnavailable, "no_target",
		"no target serves this under the configuration in force; send the request again later",
		apierror.NotRun).WithRetryAfter(s.t.JitteredRetryAfter(0))
}

func (s *System) declared(a *state.RequestArrived) bool {
	doc := &s.t.Config.Document
	if a.Kind == state.KindService {
		_, ok := s.t.Config.Service(a.Service)
		return ok
	}
	for _, m := range doc.Models {
		if m.Name == a.Model {
			return true
		}
	}
	for _, g := range doc.Groups {
		if g.Model == a.Model {
			return true
		}
	}
	return false
}

func deadlinePassed() *apierror.Error {
	return apierror.New(apierror.KindDeadline, "deadline_passed",
		"the deadline passed before the request was sent; send it again with a later deadline", apierror.NotRun)
}
