package metric

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// requests measures the requests of callers from the core's inputs and outputs.
type requests struct {
	set     *metrics.Set
	open    map[state.RequestID]*request
	arrived *metrics.Counter
	retries *metrics.Counter
	resumes *metrics.Counter
}

// request is a request without its reply. Times are on the node's clock.
type request struct {
	labels    string
	arrivedAt time.Duration
	started   bool
	firstByte bool
}

func newRequests(set *metrics.Set) *requests {
	r := &requests{
		set: set, open: map[state.RequestID]*request{},
		arrived: set.NewCounter("apricotgrade_requests_total"),
		retries: set.NewCounter("apricotgrade_retries_total"),
		resumes: set.NewCounter("apricotgrade_resumes_total"),
	}
	set.NewGauge("apricotgrade_requests_open", nil)
	return r
}

// labels names the account and the model. Plain services appear as
// "service/NAME". Series are created only once an attempt has started, so
// that models that a caller made up create none.
func labels(a state.RequestArrived) string {
	model := a.Model
	if a.Routed != nil {
		// The account follows from the key, which only the core looks up.
		model = a.Routed.Model
	}
	if a.Kind == state.KindService {
		model = "service/" + a.Service
	}
	return fmt.Sprintf("account=%q,model=%q", a.Account, model)
}

func (r *requests) input(now time.Duration, in state.Input) {
	switch in := in.(type) {
	case state.RequestArrived:
		r.arrived.Inc()
		r.open[in.ID] = &request{labels: labels(in), arrivedAt: now}
		r.openGauge().Set(float64(len(r.open)))
	case state.AttemptEvent:
		r.attemptEvent(now, in)
	}
}

func (r *requests) attemptEvent(now time.Duration, ev state.AttemptEvent) {
	if ev.Stage == state.AttemptEnded {
		r.set.GetOrCreateCounter(fmt.Sprintf("apricotgrade_attempts_ended_total{failure=%q}", failures[ev.Failure])).Inc()
		return
	}
	if req := r.open[ev.Request]; req != nil && !req.firstByte {
		req.firstByte = true
		r.observe("first_token", req, now)
	}
}

func (r *requests) output(now time.Duration, out state.Output) {
	switch out := out.(type) {
	case state.StartAttempt:
		r.started(now, out)
	case state.Reply:
		r.replied(now, out)
	}
}

func (r *requests) started(now time.Duration, out state.StartAttempt) {
	r.set.GetOrCreateCounter(fmt.Sprintf("apricotgrade_attempts_total{target=%q}", out.Target)).Inc()
	switch {
	case out.Resume != nil:
		r.resumes.Inc()
	case out.Attempt > 1:
		r.retries.Inc()
	}
	if req := r.open[out.Request]; req != nil && !req.started {
		req.started = true
		r.observe("waiting", req, now)
	}
}

func (r *requests) replied(now time.Duration, out state.Reply) {
	if out.Refusal != nil {
		r.set.GetOrCreateCounter(fmt.Sprintf("apricotgrade_refusals_total{kind=%q,outcome=%q}", out.Refusal.Kind, out.Refusal.Outcome)).Inc()
	}
	req := r.open[out.Request]
	if req == nil {
		return
	}
	delete(r.open, out.Request)
	r.openGauge().Set(float64(len(r.open)))
	if out.Refusal == nil && req.started {
		r.observe("answer", req, now)
	}
}

func (r *requests) observe(what string, req *request, now time.Duration) {
	r.set.GetOrCreateHistogram("apricotgrade_request_" + what + "_seconds{" + req.labels + "}").Update((now - req.arrivedAt).Seconds())
}

func (r *requests) openGauge() *metrics.Gauge {
	return r.set.GetOrCreateGauge("apricotgrade_requests_open", nil)
}

var failures = map[state.AttemptFailure]string{
	state.FailureNone: "none", state.FailureConnect: "connect", state.FailureConnectionLost: "broken", state.FailureInactivityTimeout: "silent",
	state.FailureTargetRefused: "refused", state.FailureTargetError: "target", state.FailureCancelled: "cancelled",
	state.FailureDecisionExpired: "held_up",
}
