package daemon

import (
	"bytes"
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// poisonInput is an input that no core can process.
func poisonInput() state.Input { return state.PeerMessage{Message: state.Message{}} }

func newTestDaemon(log *bytes.Buffer) *Daemon {
	return New(core.NewManaged(state.Self{ID: "n1"}, 1), nil, nil, nil, slog.New(slog.NewJSONHandler(log, nil)))
}

// failingCore makes each step of a daemon panic.
type failingCore struct{}

func (failingCore) Step(time.Duration, state.Input, []state.Output, time.Duration) { panic("broken") }
func (failingCore) InputWaited(time.Duration)                                      {}

// TestUnprocessableInputIsDropped guards against one input that ends the whole process,
// and against a caller that waits for an answer to it.
func TestUnprocessableInputIsDropped(t *testing.T) {
	g := gomega.NewWithT(t)
	var log bytes.Buffer
	d := newTestDaemon(&log)
	d.Observe(failingCore{})
	g.Expect(d.stepSafely(context.Background(), poisonInput())).To(gomega.BeEmpty())
	g.Expect(log.String()).To(gomega.ContainSubstring(`"event":1409`))
	outputs := d.stepSafely(context.Background(), state.RequestArrived{ID: "r"})
	g.Expect(outputs).To(gomega.HaveLen(1))
	reply := outputs[0].(state.Reply)
	g.Expect(reply.Request).To(gomega.Equal(state.RequestID("r")))
	g.Expect(reply.Refusal.Outcome).To(gomega.Equal(apierror.Unknown), "the request may be in the tables")
}

// TestBrokenTablesEndTheProcess guards against a node that goes on for ever although no
// tick succeeds.
func TestBrokenTablesEndTheProcess(t *testing.T) {
	g := gomega.NewWithT(t)
	var log bytes.Buffer
	d := newTestDaemon(&log)
	d.Observe(failingCore{})
	for range maxFailedTicks {
		d.stepSafely(context.Background(), state.Tick{})
		d.stepSafely(context.Background(), poisonInput())
	}
	g.Expect(func() { d.stepSafely(context.Background(), state.Tick{}) }).To(gomega.Panic())
}
