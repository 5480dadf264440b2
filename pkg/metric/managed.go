package metric

import (
	"fmt"
	"log/slog"

	"github.com/VictoriaMetrics/metrics"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

// managedMetrics counts the events of a managed node, whose platform holds the
// configuration: host orders, host reports, table calls, refusal codes and group
// changes. It also holds the numbers of prompt parts and requests in quarantine, of
// targets that name a limit and of hosts that are not used.
type managedMetrics struct {
	set                 *metrics.Set
	quarantinedParts    *metrics.Gauge
	quarantinedRequests *metrics.Gauge
	limitedTargets      *metrics.Gauge
	unassignedHosts     *metrics.Gauge
}

func newManagedMetrics(set *metrics.Set) *managedMetrics {
	return &managedMetrics{
		set: set, quarantinedParts: set.NewGauge("apricotgrade_quarantined_prompt_parts", nil),
		quarantinedRequests: set.NewGauge("apricotgrade_quarantined_requests", nil), limitedTargets: set.NewGauge("apricotgrade_limited_targets", nil),
		unassignedHosts: set.NewGauge("apricotgrade_unassigned_hosts", nil),
	}
}

func (m *managedMetrics) recordInput(in state.Input) {
	switch in := in.(type) {
	case state.HostOrderResult:
		m.increment("apricotgrade_host_orders_total{outcome=%q}", orderOutcomeLabels[in.Outcome])
	case state.HostReport:
		m.increment("apricotgrade_host_reports_total{answered=%q}", fmt.Sprint(in.OK))
	case state.TableUpdate:
		m.increment("apricotgrade_table_calls_total{table=%q,answered=%q}", tableLabels[in.Table], fmt.Sprint(!in.Failed))
	}
}

func (m *managedMetrics) recordOutput(out state.Output) {
	switch out := out.(type) {
	case state.Reply:
		if out.Refusal != nil {
			m.increment("apricotgrade_refusal_codes_total{code=%q}", out.Refusal.Code)
		}
	case state.LogEvent:
		if name, ok := groupChangeLabels[out.Event]; ok {
			m.increment("apricotgrade_group_changes_total{change=%q}", name)
		}
		switch out.Event {
		case event.RequestEnded:
			if late := attrValue(out, "late"); late != "" {
				m.increment("apricotgrade_late_answers_total{cause=%q}", late)
			}
			if held := attrInt(out, "held"); held > 0 {
				m.set.GetOrCreateCounter("apricotgrade_held_prompt_tokens_total").AddInt64(held)
			}
		case event.PromptPartQuarantined:
			m.quarantinedParts.Inc()
		case event.PromptPartReleased:
			m.quarantinedParts.Dec()
		case event.RequestQuarantined:
			m.quarantinedRequests.Inc()
		case event.RequestReleased:
			m.quarantinedRequests.Dec()
		case event.TargetLimitNamed:
			m.limitedTargets.Inc()
		case event.TargetLimitEnded:
			m.limitedTargets.Dec()
		case event.HostUnassigned:
			m.unassignedHosts.Inc()
		case event.HostAssigned:
			m.unassignedHosts.Dec()
		}
	}
}

// attrValue returns the text of an attribute of a log event, or "".
func attrValue(e state.LogEvent, key string) string {
	for _, attr := range e.Attrs {
		if attr.Key == key {
			return attr.Value.String()
		}
	}
	return ""
}

// attrInt returns the number of an attribute of a log event, or 0.
func attrInt(e state.LogEvent, key string) int64 {
	for _, attr := range e.Attrs {
		if attr.Key == key && attr.Value.Kind() == slog.KindInt64 {
			return attr.Value.Int64()
		}
	}
	return 0
}

// increment formats the name and labels of a counter and increments it.
func (m *managedMetrics) increment(format string, values ...any) {
	m.set.GetOrCreateCounter(fmt.Sprintf(format, values...)).Inc()
}

// orderOutcomeLabels holds the values of the outcome label.
var orderOutcomeLabels = map[state.OrderOutcome]string{
	state.OrderAccepted: "begun", state.OrderAlreadyApplied: "held", state.OrderConflict: "conflict", state.OrderFenced: "fenced",
	state.OrderInvalid: "invalid", state.OrderNotSent: "unreached", state.OrderUnknown: "unknown",
}

// tableLabels holds the values of the table label.
var tableLabels = map[state.TableKind]string{
	state.OperatorTable: "operator", state.InstanceTable: "instances", state.NodeTable: "nodes",
}

// groupChangeLabels holds the values of the change label. Other events are not
// counted.
var groupChangeLabels = map[event.ID]string{
	event.GroupJoining: "joining", event.GroupOpened: "opened", event.GroupRetired: "retired", event.RetiredHostsFreed: "released",
	event.GroupAbandoned: "given_up", event.HostStaging: "staging",
}
