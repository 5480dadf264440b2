package dispatch

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// TestCauseOfLateness guards against lateness that is counted for the wrong part of a request's
// way, so that an operator adds room where the choice of targets is at fault, or the reverse.
func TestCauseOfLateness(t *testing.T) {
	g := gomega.NewWithT(t)
	const ms = time.Millisecond
	req := &state.Request{ArrivedAt: time.Second, Route: &state.Route{LatencyObjective: 250 * ms, MaxEventGap: 200 * ms}}
	for _, c := range []struct {
		firstSent, predicted, first, gap time.Duration
		attempts                         int
		cause                            lateness
	}{
		{0, 100 * ms, 240 * ms, 190 * ms, 1, ""},
		{0, 100 * ms, 240 * ms, 210 * ms, 1, lateEvent},
		{0, 100 * ms, 260 * ms, 100 * ms, 1, lateFirstEvent},
		{140 * ms, 100 * ms, 260 * ms, 100 * ms, 1, lateFirstEvent},
		{160 * ms, 100 * ms, 260 * ms, 100 * ms, 1, lateInQueue},
		{10 * ms, 400 * ms, 500 * ms, 0, 1, lateInQueue},
		{0, 400 * ms, 500 * ms, 0, 1, lateFirstEvent},
		{0, 100 * ms, 800 * ms, 100 * ms, 2, lateAfterFailure},
	} {
		active := &activeRequest{firstSentAt: req.ArrivedAt + c.firstSent, predicted: c.predicted, attempts: c.attempts}
		g.Expect(latenessCause(req, active, req.ArrivedAt+c.first, c.gap)).To(gomega.Equal(c.cause), "%+v", c)
	}
}
