package metric

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// store measures the calls to the platform's stores.
type store struct {
	set  *metrics.Set
	sent map[uint64]call
}

type call struct {
	operation string
	at        time.Duration
}

func newStore(set *metrics.Set) *store { return &store{set: set, sent: map[uint64]call{}} }

func (s *store) output(now time.Duration, out state.Output) {
	if req, ok := out.(state.StoreRequest); ok {
		s.sent[req.ID] = call{operation(req), now}
	}
}

func (s *store) input(now time.Duration, in state.Input) {
	reply, ok := in.(state.StoreReply)
	if !ok {
		return
	}
	sent, ok := s.sent[reply.ID]
	if !ok {
		return
	}
	delete(s.sent, reply.ID)
	s.set.GetOrCreateCounter(fmt.Sprintf("apricotgrade_store_calls_total{operation=%q,result=%q}", sent.operation, results[reply.Result])).Inc()
	s.set.GetOrCreateHistogram(fmt.Sprintf("apricotgrade_store_call_seconds{operation=%q}", sent.operation)).Update((now - sent.at).Seconds())
}

var results = map[state.StoreResult]string{
	state.StoreOK: "ok", state.StoreConflict: "conflict", state.StoreUnavailable: "unavailable", state.StoreUnknown: "unknown",
}

func operation(req state.StoreRequest) string {
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
