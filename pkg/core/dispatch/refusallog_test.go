package dispatch

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

// stepLog feeds an input and returns the attributes of the last log event of this number.
func (r *rig) stepLog(in state.Input, id event.ID) map[string]string {
	var out state.Outbox
	r.system.Step(r.now, in, &out)
	var attrs map[string]string
	for _, o := range out.Outputs {
		if line, ok := o.(state.LogEvent); ok && line.Event == id {
			attrs = map[string]string{}
			for _, a := range line.Attrs {
				attrs[a.Key] = a.Value.String()
			}
		}
	}
	return attrs
}

// TestRefusalLogsWhetherAnswerStarted guards against an aborted answer that looks like a
// refusal in the log.
func TestRefusalLogsWhetherAnswerStarted(t *testing.T) {
	for started, want := range map[bool]string{false: "false", true: "true"} {
		g := gomega.NewWithT(t)
		r := newRig(t, 1)
		id := r.sendRequest("/a/", 10)
		if started {
			r.reportStage(id, state.AttemptFirstByte)
		}
		attrs := r.stepLog(state.CallerDisconnected{Request: id}, event.RequestRefused)
		g.Expect(attrs).To(gomega.And(gomega.HaveKeyWithValue("code", "caller_gone"), gomega.HaveKeyWithValue("answer_started", want)))
	}
}
