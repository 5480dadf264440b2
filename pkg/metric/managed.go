package metric

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

// managed measures a node whose platform holds the configuration.
type managed struct{ set *metrics.Set }

func newManaged(set *metrics.Set) *managed { return &managed{set: set} }

func (m *managed) input(in state.Input) {
	switch in := in.(type) {
	case state.HostOrderResult:
		m.count("apricotgrade_host_orders_total{outcome=%q}", orderOutcomes[in.Outcome])
	case state.HostReport:
		m.count("apricotgrade_host_reports_total{answered=%q}", fmt.Sprint(in.OK))
	case state.TableUpdate:
		m.count("apricotgrade_table_calls_total{table=%q,answered=%q}", tableNames[in.Table], fmt.Sprint(!in.Failed))
	}
}

func (m *managed) output(out state.Output) {
	switch out := out.(type) {
	case state.Reply:
		if out.Refusal != nil {
			m.count("apricotgrade_refusal_codes_total{code=%q}", out.Refusal.Code)
		}
	case state.LogEvent:
		if name, ok := groupEvents[out.Event]; ok {
			m.count("apricotgrade_group_changes_total{change=%q}", name)
		}
	}
}

func (m *managed) count(format string, values ...any) {
	m.set.GetOrCreateCounter(fmt.Sprintf(format, values...)).Inc()
}

var orderOutcomes = map[state.OrderOutcome]string{
	state.OrderAccepted: "begun", state.OrderAlreadyApplied: "held", state.OrderConflict: "conflict", state.OrderFenced: "fenced",
	state.OrderInvalid: "invalid", state.OrderNotSent: "unreached", state.OrderUnknown: "unknown",
}

var tableNames = map[state.TableKind]string{
	state.OperatorTable: "operator", state.InstanceTable: "instances", state.NodeTable: "nodes",
}

var groupEvents = map[event.ID]string{
	event.GroupJoining: "joining", event.GroupOpened: "opened", event.GroupRetired: "retired", event.RetiredHostsFreed: "released",
	event.GroupAbandoned: "given_up", event.HostStaging: "staging",
}
