package state

import (
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
)

// ClaimStatus tells whether a request that needs a claim may be sent. Written by
// the claims system.
type ClaimStatus uint8

// Claim statuses.
const (
	// ClaimNotRequired is the status of a request without a claim.
	ClaimNotRequired ClaimStatus = iota
	// ClaimPending means that the request waits for the claim row or for the answer
	// of another holder.
	ClaimPending
	// ClaimAcquired means that the request holds the claim and may be sent once.
	ClaimAcquired
)

// NextStep is the action that follows the end of an attempt. Written by the retry
// system.
type NextStep uint8

// Next steps.
const (
	// NextNone means that no action is pending.
	NextNone NextStep = iota
	// NextRetry queues the request again for another target.
	NextRetry
	// NextResume continues the generation at the same target.
	NextResume
)

// Counters holds counts that belong to no row.
type Counters struct {
	// StaleEvents counts events of an attempt other than the current one.
	StaleEvents uint64
	// Retries, Resumes and BudgetRefusals count the decisions after failed attempts.
	Retries        uint64
	Resumes        uint64
	BudgetRefusals uint64
	// ColdTransitions counts transitions of targets to the cold state.
	ColdTransitions uint64
}

// NeedsClaim reports whether a request needs a claim.
func (t *Tables) NeedsClaim(req *Request) bool {
	return req.Arrival.AtMostOnce && !t.Switches.IgnoreClaims
}

// HasRunningAttempt reports whether an attempt of the request is in progress.
func (r *Request) HasRunningAttempt() bool { return r.Attempt > r.LastEndedAttempt }

// IsCurrent reports whether an attempt event belongs to the running attempt of
// the request.
func (r *Request) IsCurrent(ev AttemptEvent) bool {
	return r.HasRunningAttempt() && r.Attempt == ev.Attempt
}

// OpenAttempt returns the open attempt with a number: the running one or a fallback.
func (r *Request) OpenAttempt(number int) (attempt SentAttempt, ok bool) {
	if r.HasRunningAttempt() && r.Attempt == number {
		return SentAttempt{Number: number, Target: r.Target, StartID: r.TargetStartID, SentAt: r.SentAt}, true
	}
	for _, fallback := range r.Fallbacks {
		if fallback.Number == number {
			return fallback, true
		}
	}
	return SentAttempt{}, false
}

// EndWithRefusal ends a request with a refusal. Only EndWithRefusal and
// EndWithAnswer write the end fields, so that a request gets exactly one reply. A
// refusal with outcome "not run" becomes "unknown" if an attempt may have run the
// request.
func (t *Tables) EndWithRefusal(now time.Duration, req *Request, refusal *apierror.Error, out *Outbox) {
	if refusal.Outcome == apierror.NotRun && (req.MayHaveRun || req.HasRunningAttempt()) && !t.Switches.IgnoreOutcome {
		c := *refusal
		c.Outcome = apierror.Unknown
		refusal = &c
	}
	t.endRequest(now, req, Reply{Refusal: refusal}, refusal.Outcome, out)
}

// EndWithAnswer ends a request with a complete answer.
func (t *Tables) EndWithAnswer(now time.Duration, req *Request, reply Reply, out *Outbox) {
	t.endRequest(now, req, reply, apierror.Done, out)
}

func (t *Tables) endRequest(now time.Duration, req *Request, reply Reply, outcome apierror.Outcome, out *Outbox) {
	if req.Phase == RequestEnded {
		return
	}
	// The attempt of a request with AtMostOnce continues, because its answer is
	// still stored in the claim. The cancellation precedes the reply, which releases
	// the exchange with the caller.
	if req.HasRunningAttempt() && !req.Arrival.AtMostOnce {
		out.Add(CancelAttempt{Request: req.Arrival.ID, Attempt: req.Attempt})
	}
	req.Phase, req.Outcome, req.EndedAt = RequestEnded, outcome, now
	reply.Request = req.Arrival.ID
	out.Add(reply)
	t.Requests.Touch(req.Arrival.ID)
}

// minRetryJitter is the shortest interval over which the retries of refused
// requests are spread.
const minRetryJitter = 2 * time.Second

// JitteredRetryAfter returns a random retry delay that is spread over the expected
// wait, so that refused callers do not all retry at once.
func (t *Tables) JitteredRetryAfter(wait time.Duration) time.Duration {
	return time.Second + time.Duration(t.Rand.Int64N(int64(max(wait, minRetryJitter))))
}

// Preset returns the specification of the preset in force.
func (c *Configuration) Preset() PresetSpec {
	i := slices.IndexFunc(c.Document.Presets, func(p PresetSpec) bool { return p.Name == c.Head.Preset })
	if i < 0 {
		return PresetSpec{Name: c.Head.Preset}
	}
	return c.Document.Presets[i]
}

// Service returns the specification of a plain service.
func (c *Configuration) Service(name string) (ServiceSpec, bool) {
	i := slices.IndexFunc(c.Document.Services, func(s ServiceSpec) bool { return s.Name == name })
	if i < 0 {
		return ServiceSpec{}, false
	}
	return c.Document.Services[i], true
}
