package gateway

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// TestAttemptWithExpiredDecisionIsNotSent guards against a request that is sent to a
// target which may have been disabled since the decision. This happens when the process
// is paused between the decision and the sending.
func TestAttemptWithExpiredDecisionIsNotSent(t *testing.T) {
	g := NewWithT(t)
	var sent atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		sent.Add(1)
		writeJSON(w, http.StatusOK, 1)
	}))
	defer server.Close()
	gw := newIdleGateway(t)
	start := startAttempt(server, 1)
	for _, attempt := range []func() state.AttemptEvent{
		func() state.AttemptEvent {
			return gw.runAttempt(httptest.NewRecorder(), newExchange(modelRequest(false)), start)
		},
		func() state.AttemptEvent { return gw.runAtMostOnceAttempt(newExchange(modelRequest(false)), start) },
	} {
		start.DecidedAt = gw.daemon.Now() - time.Second
		ev := attempt()
		g.Expect(ev.Failure).To(Equal(state.FailureDecisionExpired))
		g.Expect(ev.Outcome).To(Equal(apierror.NotRun))
		g.Expect(sent.Load()).To(BeZero())
	}
	start.DecidedAt = gw.daemon.Now()
	gw.runAtMostOnceAttempt(newExchange(modelRequest(false)), start)
	g.Expect(sent.Load()).To(Equal(int64(1)))
}
