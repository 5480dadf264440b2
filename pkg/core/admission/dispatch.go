package admission

import (
	"log/slog"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

// dispatch starts attempts in the order of the fair queue until each account has
// no request, is at its concurrency limit or is blocked.
func (s *System) dispatch(now time.Duration, out *state.Outbox) {
	if !s.tables.Config.Fresh && !s.tables.Switches.IgnoreFreshness {
		return
	}
	q := s.queue
	// A blocked account keeps its turn and its deficit; otherwise each event without
	// free capacity would advance the turn. The accounts behind it are served
	// meanwhile.
	skipped, needsAnotherPass := 0, false
	for len(q.ring) > 0 {
		if skipped >= len(q.ring) {
			if !needsAnotherPass {
				return
			}
			skipped, needsAnotherPass = 0, false
		}
		a := q.ring[(q.pos+skipped)%len(q.ring)]
		it := s.nextEligible(now, a)
		if it == nil {
			skipped++
			continue
		}
		q.grantQuantum(a)
		if a.deficit < it.cost {
			a.quantumGranted = false
			if skipped == 0 {
				q.pos = (q.pos + 1) % len(q.ring)
				continue
			}
			needsAnotherPass = true
			skipped++
			continue
		}
		req := s.tables.Requests.Get(it.id)
		target, ok := s.picker.Pick(now, req, out)
		it.class.meter.setLimited(now, !ok)
		if !ok {
			it.class.blockedEpoch = q.capacityEpoch
			continue
		}
		a.meter.setLimited(now, false)
		s.startAttempt(now, req, it, target, out)
		if a.count == 0 {
			skipped = 0
		}
	}
}

// nextEligible returns the next request that may be sent for an account, or nil.
func (s *System) nextEligible(now time.Duration, a *accountQueue) *item {
	it := s.queue.nextUnblocked(a)
	// A resume is exempt from the concurrency limit, because its generation still
	// runs and is counted at its target.
	if it == nil || it.resume || s.isBelowConcurrencyLimit(it.account) {
		return it
	}
	a.meter.setLimited(now, true)
	return nil
}

// startAttempt removes a request from the queue and starts its next attempt.
func (s *System) startAttempt(now time.Duration, req *state.Request, it *item, target state.TargetID, out *state.Outbox) {
	a := &req.Arrival
	s.queue.dequeue(now, it)
	s.waitDeadlines.Cancel(a.ID)
	s.addQueued(a.Account, -1)
	req.Phase, req.Target, req.SentAt = state.RequestSent, target, now
	req.Attempt++
	s.running[a.ID] = attempt{number: req.Attempt, account: a.Account, class: it.class, cost: it.cost, startedAt: now}
	if row := s.tables.Accounts.Get(a.Account); row != nil {
		row.InFlight++
		row.Deficit = it.queue.deficit
		s.tables.Accounts.Touch(a.Account)
	}
	var resume *state.ResumePoint
	if req.NextStep == state.NextResume || a.Resume != nil {
		resume = &state.ResumePoint{Target: target, Generation: req.Generation, Offset: req.Offset}
	}
	out.Add(state.StartAttempt{
		Request: a.ID, Attempt: req.Attempt, Target: target, Address: s.tables.Targets.Get(target).Address,
		Resume: resume, NewConnection: !a.IsIdempotent() || resume != nil, Timeout: req.Deadline - now, DecidedAt: now,
	})
}

// refuse removes a request from the queue and ends it with a refusal.
func (s *System) refuse(now time.Duration, req *state.Request, refusal *apierror.Error, out *state.Outbox) {
	s.remove(now, req.Arrival.ID)
	out.Log(event.RequestRefused, slog.String("request", string(req.Arrival.ID)),
		slog.String("account", string(req.Arrival.Account)), slog.String("code", refusal.Code))
	s.tables.EndWithRefusal(now, req, refusal, out)
}

// waitExpiredError returns the refusal of a request that was not sent within its
// maximum wait.
func (s *System) waitExpiredError(now time.Duration, req *state.Request) *apierror.Error {
	retryAfter := s.tables.JitteredRetryAfter(s.queue.estimateClassWait(now, req))
	switch {
	case !s.tables.Config.Fresh:
		return apierror.New(apierror.KindStale, "configuration_stale",
			"this node cannot confirm the configuration in force; send the request again", apierror.NotRun).WithRetryAfter(retryAfter)
	case now >= req.Deadline:
		return deadlinePassedError().WithRetryAfter(retryAfter)
	default:
		return apierror.New(apierror.KindOverloaded, "queue_timeout",
			"no target had free capacity in time; send the request again later", apierror.NotRun).WithRetryAfter(retryAfter)
	}
}

func (s *System) deadlineUnreachableError(wait time.Duration) *apierror.Error {
	return apierror.New(apierror.KindOverloaded, "deadline_unreachable",
		"the queue is too long for the deadline; send the request again later or with a later deadline",
		apierror.NotRun).WithRetryAfter(s.tables.JitteredRetryAfter(wait))
}

// notServedError returns the refusal of a request without a target. It distinguishes
// a lost generation, an undeclared model or service, and one that has no target now.
func (s *System) notServedError(req *state.Request) *apierror.Error {
	if req.Arrival.Resume != nil || req.NextStep == state.NextResume {
		return apierror.New(apierror.KindTargetLost, "generation_lost",
			"the target of the generation accepts no requests; send the request again from its start", apierror.Unknown)
	}
	if !s.isDeclared(&req.Arrival) {
		return apierror.New(apierror.KindNotFound, "not_declared",
			"no such model or service is declared; check the name", apierror.NotRun)
	}
	return apierror.New(apierror.KindUnavailable, "no_target",
		"no target serves this under the configuration in force; send the request again later",
		apierror.NotRun).WithRetryAfter(s.tables.JitteredRetryAfter(0))
}

// isDeclared reports whether the document declares the model or service of a request.
func (s *System) isDeclared(a *state.RequestArrived) bool {
	doc := &s.tables.Config.Document
	if a.Kind == state.KindService {
		_, ok := s.tables.Config.Service(a.Service)
		return ok
	}
	for _, model := range doc.Models {
		if model.Name == a.Model {
			return true
		}
	}
	for _, group := range doc.Groups {
		if group.Model == a.Model {
			return true
		}
	}
	return false
}

func deadlinePassedError() *apierror.Error {
	return apierror.New(apierror.KindDeadline, "deadline_passed",
		"the deadline passed before the request was sent; send it again with a later deadline", apierror.NotRun)
}
