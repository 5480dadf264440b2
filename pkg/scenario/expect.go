package scenario

import (
	"strconv"

	"github.com/pkg/errors"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// expect checks an expectation about the simulated system. Scripts whose mechanism is
// switched off skip their expectations.
func (s *Script) expect(args []string) error {
	if s.MechanismOff {
		return nil
	}
	if len(args) < 2 {
		return ErrUsage
	}
	check, ok := expectations[args[0]]
	if !ok {
		return errors.Wrapf(ErrUsage, "expect %v", args)
	}
	return check(s, args[1:])
}

var expectations = map[string]func(*Script, []string) error{
	"request":    expectRequest,
	"executions": expectExecutions,
	"change":     expectChange,
	"node":       expectNode,
	"groups":     expectGroups,
	"group":      expectGroup,
	"refused":    expectRefused,
	"answered":   expectAnswered,
}

// expectRequest implements "request NAME (whole|open|not_run|unknown|refused CODE)".
func expectRequest(s *Script, args []string) error {
	first := s.requests[args[0]]
	if first == nil || len(args) < 2 {
		return ErrUsage
	}
	r := s.Simulation.FinalRequest(first)
	got := "open"
	switch {
	case r.Complete:
		got = "whole"
	case r.Refusal != nil:
		got = string(r.Refusal.Outcome)
	}
	if args[1] == "refused" && len(args) == 3 && r.Refusal != nil {
		got, args = r.Refusal.Code, args[1:]
	}
	if got != args[1] {
		return errors.Errorf("request %s is %s, want %s", first.Arrival.ID, got, args[1])
	}
	return nil
}

// expectExecutions implements "executions ACCOUNT/KEY COUNT".
func expectExecutions(s *Script, args []string) error {
	if len(args) != 2 {
		return ErrUsage
	}
	if got := strconv.Itoa(s.Simulation.Checks.Executions(args[0])); got != args[1] {
		return errors.Errorf("order %s was executed %s times, want %s", args[0], got, args[1])
	}
	return nil
}

// expectChange implements "change NAME (accepted|committed|refused|open)".
func expectChange(s *Script, args []string) error {
	reply := s.replies[args[0]]
	got := "open"
	switch {
	case reply == nil:
	case reply.Error != nil:
		got = "refused"
	case reply.Accepted:
		got = "accepted"
	default:
		got = "committed"
	}
	if len(args) != 2 || got != args[1] {
		return errors.Errorf("change %s is %s, want %v", args[0], got, args[1:])
	}
	return nil
}

// expectNode implements "node ID (fresh|stale|ready|unready|gone)".
func expectNode(s *Script, args []string) error {
	n := s.Simulation.Node(state.NodeID(args[0]))
	if n == nil || len(args) != 2 {
		return ErrUsage
	}
	got := map[string]bool{
		"fresh": n.Core.Tables().Config.Fresh, "stale": !n.Core.Tables().Config.Fresh,
		"ready": n.Ready, "unready": !n.Ready, "gone": !n.Alive,
	}
	if !got[args[1]] {
		return errors.Errorf("node %s is not %s", n.ID, args[1])
	}
	return nil
}

// expectGroups implements "groups whole COUNT".
func expectGroups(s *Script, args []string) error {
	if len(args) != 2 || args[0] != "whole" {
		return ErrUsage
	}
	if got := strconv.Itoa(s.Simulation.HealthyGroups()); got != args[1] {
		return errors.Errorf("%s groups are healthy, want %s", got, args[1])
	}
	return nil
}

// expectGroup implements "group ID (has|lacks) HOST".
func expectGroup(s *Script, args []string) error {
	if len(args) != 3 {
		return ErrUsage
	}
	has := false
	for _, member := range s.Simulation.Checks.groupRows[state.GroupID(args[0])].Members {
		has = has || string(member) == args[2]
	}
	if has != (args[1] == "has") {
		return errors.Errorf("group %s has members %v, want %v", args[0], s.Simulation.Checks.groupRows[state.GroupID(args[0])].Members, args[1:])
	}
	return nil
}

// expectRefused implements "refused at-most COUNT".
func expectRefused(s *Script, args []string) error {
	refusals := 0
	for _, count := range s.Simulation.Metrics.RefusalsByCode {
		refusals += count
	}
	limit, err := strconv.Atoi(args[len(args)-1])
	if err != nil || args[0] != "at-most" {
		return ErrUsage
	}
	if refusals > limit {
		return errors.Errorf("%d refusals (by code: %v), want at most %d", refusals, s.Simulation.Metrics.RefusalsByCode, limit)
	}
	return nil
}

// expectAnswered implements "answered at-least PERCENT".
func expectAnswered(s *Script, args []string) error {
	want, err := strconv.ParseFloat(args[len(args)-1], 64)
	if err != nil || args[0] != "at-least" {
		return ErrUsage
	}
	got := s.Simulation.AnsweredShare()
	if got < want {
		return errors.Errorf("%.2f%% of model requests were answered completely, want at least %.2f%%; refusals by code: %v", got, want, s.Simulation.Metrics.RefusalsByCode)
	}
	return nil
}

// AnsweredShare returns the percentage of model requests with a complete answer. Open
// requests count as not answered. A request that a caller sent again through another
// node counts once, with its last submission.
func (sim *Simulation) AnsweredShare() float64 {
	total, complete := 0, 0
	continued := map[*Request]bool{}
	for _, r := range sim.submitted {
		if r.previous != nil {
			continued[r.previous] = true
		}
	}
	for _, r := range sim.submitted {
		if r.Arrival.Kind != state.KindModel || continued[r] {
			continue
		}
		total++
		if r.Complete {
			complete++
		}
	}
	if total == 0 {
		return percent
	}
	return percent * float64(complete) / float64(total)
}

// NotRun reports whether the request was refused with the outcome not_run.
func (r *Request) NotRun() bool { return r.Refusal != nil && r.Refusal.Outcome == apierror.NotRun }
