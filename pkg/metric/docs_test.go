package metric_test

import (
	"log/slog"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"testing"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/connlimit"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/daemon"
	"github.com/apricotgrade/apricotgrade/pkg/event"
	"github.com/apricotgrade/apricotgrade/pkg/gateway"
	"github.com/apricotgrade/apricotgrade/pkg/memory"
	"github.com/apricotgrade/apricotgrade/pkg/metric"
)

var (
	writtenMetric    = regexp.MustCompile(`(?m)^(apricotgrade_\w+?)(?:_bucket|_sum|_count)?[{ ]`)
	documentedMetric = regexp.MustCompile("`(apricotgrade_\\w+)")
)

// TestMetricsMatchDocumentation guards against metrics that are missing from
// docs/OPERATIONS.md, and against documented metrics that are no longer written.
func TestMetricsMatchDocumentation(t *testing.T) {
	r := metric.New()
	r.RegisterDaemon(&daemon.Counters{}, func() int { return 0 })
	r.RegisterGateway(&gateway.Counters{})
	r.RegisterMemory(memory.NewBudget(1))
	r.AnswerAborted("x")
	r.BodyRefused("x")
	r.RequestAbandoned("x")
	r.InputWaited(time.Second)
	r.RegisterConnections("x", connlimit.New(connlimit.Limits{Listener: "x"}, r, slog.New(slog.DiscardHandler)))
	r.ConnectionClosed("x", connlimit.TooMany)
	refusal := apierror.New(apierror.KindOverloaded, "x", "y", apierror.NotRun)
	for _, in := range []state.Input{
		state.RequestArrived{ID: "r"}, state.RequestArrived{ID: "s"}, state.StoreReply{ID: 1},
		state.HostOrderResult{}, state.HostReport{}, state.TableUpdate{},
		state.AttemptEvent{Request: "r"}, state.AttemptEvent{Request: "r", Stage: state.AttemptEnded},
	} {
		r.Step(time.Second, in, []state.Output{state.StoreRequest{ID: 1}, state.StartAttempt{Request: "r"}}, 0)
	}
	r.Step(time.Second, state.Tick{}, []state.Output{state.LogEvent{Event: event.GroupOpened}, state.LogEvent{Event: event.RequestEnded, Attrs: []slog.Attr{slog.String("late", "gap"), slog.Int("held", 1)}}, state.Reply{Request: "r"}, state.Reply{Request: "s", Refusal: refusal}}, 0)
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "OPERATIONS.md"))
	if err != nil {
		t.Fatal(err)
	}
	writtenNames, documentedNames := metricNames(writtenMetric, renderMetrics(r)), metricNames(documentedMetric, string(page))
	for _, name := range writtenNames {
		if !slices.Contains(documentedNames, name) {
			t.Errorf("docs/OPERATIONS.md does not list %s", name)
		}
	}
	for _, name := range documentedNames {
		if !slices.Contains(writtenNames, name) {
			t.Errorf("docs/OPERATIONS.md lists %s, which is not written", name)
		}
	}
}

func metricNames(pattern *regexp.Regexp, text string) []string {
	var list []string
	for _, m := range pattern.FindAllStringSubmatch(text, -1) {
		list = append(list, m[1])
	}
	slices.Sort(list)
	return slices.Compact(list)
}
