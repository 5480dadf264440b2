package metric

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// requestMetrics derives the metrics of callers' requests from the inputs and
// outputs of the core.
type requestMetrics struct {
	set     *metrics.Set
	open    map[state.RequestID]*openRequest
	arrived *metrics.Counter
	retries *metrics.Counter
	resumes *metrics.Counter
	losses  *lossMetrics
}

// openRequest is a request that has no reply yet. Times are on the node's clock.
type openRequest struct {
	labels    string
	arrivedAt time.Duration
	started   bool
	firstByte bool
	streams   streamAttempts
}

func newRequestMetrics(set *metrics.Set) *requestMetrics {
	r := &requestMetrics{
		set: set, open: map[state.RequestID]*openRequest{},
		arrived: set.NewCounter("apricotgrade_requests_total"),
		retries: set.NewCounter("apricotgrade_retries_total"),
		resumes: set.NewCounter("apricotgrade_resumes_total"),
		losses:  newLossMetrics(set),
	}
	set.NewGauge("apricotgrade_requests_open", nil)
	return r
}

// requestLabels returns the account and model labels of a request. A plain
// service has the model label "service/NAME". Series with these labels are
// created only after an attempt has started, so that model names invented by
// callers create no series.
func requestLabels(arrival state.RequestArrived) string {
	model := arrival.Model
	if arrival.Routed != nil {
		// The account label stays empty, because only the core resolves the key to
		// an account.
		model = arrival.Routed.Model
	}
	if arrival.Kind == state.KindService {
		model = "service/" + arrival.Service
	}
	return fmt.Sprintf("account=%q,model=%q", arrival.Account, model)
}

func (r *requestMetrics) recordInput(now time.Duration, in state.Input) {
	switch in := in.(type) {
	case state.RequestArrived:
		r.arrived.Inc()
		r.open[in.ID] = &openRequest{labels: requestLabels(in), arrivedAt: now}
		r.openGauge().Set(float64(len(r.open)))
	case state.AttemptEvent:
		r.recordAttemptEvent(now, in)
	}
}

func (r *requestMetrics) recordAttemptEvent(now time.Duration, ev state.AttemptEvent) {
	if ev.Stage == state.AttemptEnded {
		r.set.GetOrCreateCounter(fmt.Sprintf("apricotgrade_attempts_ended_total{failure=%q}", failureLabels[ev.Failure])).Inc()
		if req := r.open[ev.Request]; req != nil && ev.LostBeforeFirstEvent() {
			r.losses.record(now, req.streams.target(ev.Attempt))
		}
		return
	}
	if req := r.open[ev.Request]; req != nil && !req.firstByte {
		req.firstByte = true
		r.observeSinceArrival("first_token", req, now)
	}
}

func (r *requestMetrics) recordOutput(now time.Duration, out state.Output) {
	switch out := out.(type) {
	case state.StartAttempt:
		r.recordAttemptStart(now, out)
	case state.Reply:
		r.recordReply(now, out)
	}
}

func (r *requestMetrics) recordAttemptStart(now time.Duration, out state.StartAttempt) {
	r.set.GetOrCreateCounter(fmt.Sprintf("apricotgrade_attempts_total{target=%q}", out.Target)).Inc()
	switch {
	case out.Resume != nil:
		r.resumes.Inc()
	case out.Attempt > 1:
		r.retries.Inc()
	}
	req := r.open[out.Request]
	if req == nil {
		return
	}
	if out.StallAfter > 0 {
		req.streams.add(out)
	}
	if !req.started {
		req.started = true
		r.observeSinceArrival("waiting", req, now)
	}
}

func (r *requestMetrics) recordReply(now time.Duration, out state.Reply) {
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
		r.observeSinceArrival("answer", req, now)
	}
}

// observeSinceArrival records the time from the arrival of a request to the end
// of a phase, which is part of the metric name.
func (r *requestMetrics) observeSinceArrival(phase string, req *openRequest, now time.Duration) {
	r.set.GetOrCreateHistogram("apricotgrade_request_" + phase + "_seconds{" + req.labels + "}").Update((now - req.arrivedAt).Seconds())
}

func (r *requestMetrics) openGauge() *metrics.Gauge {
	return r.set.GetOrCreateGauge("apricotgrade_requests_open", nil)
}

// failureLabels holds the values of the failure label.
var failureLabels = map[state.AttemptFailure]string{
	state.FailureNone: "none", state.FailureConnect: "connect", state.FailureConnectionLost: "broken", state.FailureInactivityTimeout: "silent",
	state.FailureTargetRefused: "refused", state.FailureTargetError: "target", state.FailureCancelled: "cancelled",
	state.FailureDecisionExpired: "held_up",
}
