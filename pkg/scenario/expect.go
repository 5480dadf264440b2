package scenario

import (
	"strconv"

	"github.com/pkg/errors"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// expect checks a statement about the world.
func (s *Script) expect(args []string) error {
	if s.SwitchedOff {
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

// request NAME (whole|open|not_run|unknown|refused CODE)
func expectRequest(s *Script, args []string) error {
	first := s.requests[args[0]]
	if first == nil || len(args) < 2 {
		return ErrUsage
	}
	r := s.World.Final(first)
	got := "open"
	switch {
	case r.Whole:
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

func expectExecutions(s *Script, args []string) error {
	if len(args) != 2 {
		return ErrUsage
	}
	if got := strconv.Itoa(s.World.Checks.Executions(args[0])); got != args[1] {
		return errors.Errorf("%s executed %s times, want %s", args[0], got, args[1])
	}
	return nil
}

// change NAME (accepted|committed|refused|open)
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

// node ID (fresh|stale|ready|unready|gone)
func expectNode(s *Script, args []string) error {
	n := s.World.Node(state.NodeID(args[0]))
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

// groups whole N
func expectGroups(s *Script, args []string) error {
	if len(args) != 2 || args[0] != "whole" {
		return ErrUsage
	}
	if got := strconv.Itoa(s.World.WholeGroups()); got != args[1] {
		return errors.Errorf("%s groups are whole, want %s", got, args[1])
	}
	return nil
}

// group ID (has|lacks) HOST
func expectGroup(s *Script, args []string) error {
	if len(args) != 3 {
		return ErrUsage
	}
	has := false
	for _, m := range s.World.Checks.groups[state.GroupID(args[0])].Members {
		has = has || string(m) == args[2]
	}
	if has != (args[1] == "has") {
		return errors.Errorf("group %s has %v, want %v", args[0], s.World.Checks.groups[state.GroupID(args[0])].Members, args[1:])
	}
	return nil
}

// refused at-most N
func expectRefused(s *Script, args []string) error {
	n := 0
	for _, count := range s.World.Metrics.Refused {
		n += count
	}
	limit, err := strconv.Atoi(args[len(args)-1])
	if err != nil || args[0] != "at-most" {
		return ErrUsage
	}
	if n > limit {
		return errors.Errorf("%d refusals %v, want at most %d", n, s.World.Metrics.Refused, limit)
	}
	return nil
}

// answered at-least PERCENT
func expectAnswered(s *Script, args []string) error {
	want, err := strconv.ParseFloat(args[len(args)-1], 64)
	if err != nil || args[0] != "at-least" {
		return ErrUsage
	}
	got := s.World.AnsweredShare()
	if got < want {
		return errors.Errorf("%.2f%% of chats answered whole, want %.2f%%; refusals %v", got, want, s.World.Metrics.Refused)
	}
	return nil
}

// AnsweredShare returns how many of the model requests that have ended were
// answered whole, in percent. A request that a caller had to repeat counts by
// its last try.
func (w *World) AnsweredShare() float64 {
	all, whole := 0, 0
	continued := map[*Request]bool{}
	for _, r := range w.order {
		if r.resumes != nil {
			continued[r.resumes] = true
		}
	}
	for _, r := range w.order {
		if r.Arrival.Kind != state.KindModel || continued[r] {
			continue
		}
		all++
		if r.Whole {
			whole++
		}
	}
	if all == 0 {
		return percent
	}
	return percent * float64(whole) / float64(all)
}

// NotRun reports whether a refusal says that its request was not run.
func (r *Request) NotRun() bool { return r.Refusal != nil && r.Refusal.Outcome == apierror.NotRun }
