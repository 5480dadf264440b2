package metric

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// storeMetrics counts and times the calls to the stores of the platform.
type storeMetrics struct {
	set     *metrics.Set
	pending map[uint64]pendingCall
}

// pendingCall is a store call without a reply yet.
type pendingCall struct {
	operation string
	sentAt    time.Duration
}

func newStoreMetrics(set *metrics.Set) *storeMetrics {
	return &storeMetrics{set: set, pending: map[uint64]pendingCall{}}
}

func (s *storeMetrics) recordOutput(now time.Duration, out state.Output) {
	if req, ok := out.(state.StoreRequest); ok {
		s.pending[req.ID] = pendingCall{storeOperation(req), now}
	}
}

func (s *storeMetrics) recordInput(now time.Duration, in state.Input) {
	reply, ok := in.(state.StoreReply)
	if !ok {
		return
	}
	call, ok := s.pending[reply.ID]
	if !ok {
		return
	}
	delete(s.pending, reply.ID)
	s.set.GetOrCreateCounter(fmt.Sprintf("apricotgrade_store_calls_total{operation=%q,result=%q}", call.operation, storeResultLabels[reply.Result])).Inc()
	s.set.GetOrCreateHistogram(fmt.Sprintf("apricotgrade_store_call_seconds{operation=%q}", call.operation)).Update((now - call.sentAt).Seconds())
}

// storeResultLabels holds the values of the result label.
var storeResultLabels = map[state.StoreResult]string{
	state.StoreOK: "ok", state.StoreConflict: "conflict", state.StoreUnavailable: "unavailable", state.StoreUnknown: "unknown",
}

// storeOperation returns the operation label of a store request.
func storeOperation(req state.StoreRequest) string {
	switch {
	case req.Transact != nil:
		return "transact"
	case req.Scan != "":
		return "scan"
	case req.PutObject != nil:
		return "put_object"
	case req.GetObject != "":
		return "get_object"
	}
	return "read"
}
