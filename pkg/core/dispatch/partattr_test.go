package dispatch

import (
	"crypto/sha256"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

// TestPartsAreLoggedForTargetLostBeforeFirstEvent guards against a log from which the
// prompt that ends its targets cannot be found, and against parts in all other lines,
// whose number has no bound but the load.
func TestPartsAreLoggedForTargetLostBeforeFirstEvent(t *testing.T) {
	lost := state.AttemptEvent{Attempt: 1, Stage: state.AttemptEnded, Failure: state.FailureConnectionLost, Outcome: apierror.Unknown, Status: 200}
	noHead, begun, refused, cancelled := lost, lost, lost, lost
	noHead.Status, begun.EventCount, refused.Failure, cancelled.Failure = 0, 1, state.FailureTargetRefused, state.FailureCancelled
	for name, c := range map[string]struct {
		end   state.AttemptEvent
		parts []state.PromptPartID
		want  string
	}{
		"head and no event": {lost, []state.PromptPartID{0x5c1e07a2, 0, 1<<64 - 1}, "5c1e07a2,0,ffffffffffffffff"},
		"no parts":          {lost, nil, ""},
		"no head":           {noHead, []state.PromptPartID{1}, ""},
		"an event":          {begun, []state.PromptPartID{1}, ""},
		"refused":           {refused, []state.PromptPartID{1}, ""},
		"cancelled":         {cancelled, []state.PromptPartID{1}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			r := newRig(t, 2)
			r.step(state.RequestArrived{ID: "r", Routed: &state.RoutedRequest{
				HostName: "shop.example", Path: "/a/", HasKey: true, KeyHash: sha256.Sum256([]byte(apiKey)), AttemptID: "r",
				Model: modelName, OutputTokens: 130, Timeout: 8 * time.Second, PromptParts: c.parts,
			}})
			c.end.Request = "r"
			attrs := r.stepLog(c.end, event.AttemptFailed)
			g.Expect(attrs).To(gomega.HaveKeyWithValue("request", "r"))
			g.Expect(attrs["parts"]).To(gomega.Equal(c.want))
		})
	}
}
