package scenario

import (
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// Script runs one script of the scenario language.
type Script struct {
	Simulation *Simulation
	// MechanismOff runs the script with the mechanism of its proves command switched
	// off. Expectations are then skipped, and the violation that the mechanism
	// prevents must occur.
	MechanismOff bool

	invariant string
	mechanism string
	requests  map[string]*Request
	replies   map[string]*state.OperatorReply
}

// Commands returns the commands of the scenario language for testscript. Each run
// needs a *Script as its value with the key "script".
func Commands() map[string]func(*testscript.TestScript, bool, []string) {
	cmds := map[string]func(*testscript.TestScript, bool, []string){}
	add := func(name string, f func(*Script, []string) error) {
		cmds[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			s := ts.Value("script").(*Script)
			err := f(s, args)
			if neg {
				ts.Fatalf("%s cannot be negated", name)
			}
			if err != nil {
				ts.Fatalf("%v\n%s", err, s.trace())
			}
		}
	}
	for name := range actions {
		add(name, func(s *Script, args []string) error { return s.Simulation.RunCommand(append([]string{name}, args...)) })
	}
	add("proves", (*Script).proves)
	add("world", (*Script).build)
	add("run", (*Script).run)
	add("at", (*Script).at)
	add("chat", (*Script).chat)
	add("order", (*Script).order)
	add("out", (*Script).out)
	add("in", (*Script).in)
	add("preset", (*Script).preset)
	add("settle", (*Script).settle)
	add("expect", (*Script).expect)
	return cmds
}

// Finish checks the recorded violations after the last command.
func (s *Script) Finish() error {
	if s.Simulation == nil {
		return errors.New("the script has no world command")
	}
	if !s.MechanismOff {
		if len(s.Simulation.Checks.Violations) > 0 {
			return errors.Errorf("invariant violations: %v\n%s", s.Simulation.Checks.Violations, s.trace())
		}
		return nil
	}
	if s.mechanism != "" && !s.Simulation.Checks.IsViolated(s.invariant) {
		return errors.Errorf("with switch %s set, invariant %s is not violated, so that the script proves nothing\n%s",
			s.mechanism, s.invariant, s.trace())
	}
	return nil
}

// HasMechanism reports whether the script has a proves command.
func (s *Script) HasMechanism() bool { return s.mechanism != "" }

const maxTraceLines = 120

func (s *Script) trace() string {
	if s.Simulation == nil {
		return ""
	}
	lines := s.Simulation.Trace
	if len(lines) > maxTraceLines {
		lines = lines[len(lines)-maxTraceLines:]
	}
	return strings.Join(lines, "\n")
}

// proves sets the invariant and the switch that turns off the mechanism behind it.
func (s *Script) proves(args []string) error {
	if len(args) != 2 {
		return ErrUsage
	}
	s.invariant, s.mechanism = args[0], args[1]
	return nil
}

// build creates the simulation with options such as nodes=6.
func (s *Script) build(args []string) error {
	opts := DefaultOptions()
	for _, arg := range args {
		if err := setOption(&opts, arg); err != nil {
			return err
		}
	}
	if s.MechanismOff && s.mechanism != "" {
		field := reflect.ValueOf(&opts.Switches).Elem().FieldByName(s.mechanism)
		if !field.IsValid() {
			return errors.Errorf("state.Switches has no field %s", s.mechanism)
		}
		field.SetBool(true)
	}
	s.Simulation = New(opts)
	s.requests, s.replies = map[string]*Request{}, map[string]*state.OperatorReply{}
	return nil
}

func setOption(opts *Options, arg string) error {
	name, value, _ := strings.Cut(arg, "=")
	if name == "load_time" {
		d, err := time.ParseDuration(value)
		opts.LoadTime = d
		return err
	}
	n, err := strconv.Atoi(value)
	if err != nil {
		return errors.Wrapf(ErrUsage, "world %s", arg)
	}
	fields := map[string]*int{
		"nodes": &opts.Nodes, "data_centres": &opts.DataCentres, "groups": &opts.Groups, "members": &opts.Members,
		"spares": &opts.Spares, "accounts": &opts.Accounts, "cold": &opts.ColdLimit, "warm": &opts.WarmLimit,
	}
	switch field := fields[name]; {
	case field != nil:
		*field = n
	case name == "seed":
		opts.Seed = uint64(n)
	case name == "unfenced":
		opts.Unfenced = n == 1
	default:
		return errors.Wrapf(ErrUsage, "world %s", arg)
	}
	return nil
}

func (s *Script) run(args []string) error {
	if len(args) != 1 {
		return ErrUsage
	}
	d, err := time.ParseDuration(args[0])
	if err != nil {
		return err
	}
	s.Simulation.Run(d)
	return nil
}

// at schedules a command after a delay.
func (s *Script) at(args []string) error {
	if len(args) < 2 {
		return ErrUsage
	}
	d, err := time.ParseDuration(args[0])
	if err != nil {
		return err
	}
	s.Simulation.ScheduleAfter(d, func() {
		if err := s.runCommand(args[1:]); err != nil {
			s.Simulation.Checks.addViolation("script", "%v", err)
		}
	})
	return nil
}

// runCommand runs a scheduled command.
func (s *Script) runCommand(args []string) error {
	scriptCommands := map[string]func(*Script, []string) error{
		"chat": (*Script).chat, "order": (*Script).order, "out": (*Script).out, "in": (*Script).in,
		"preset": (*Script).preset,
	}
	if f := scriptCommands[args[0]]; f != nil {
		return f(s, args[1:])
	}
	return s.Simulation.RunCommand(args)
}

// chat implements "chat NAME NODE ACCOUNT".
func (s *Script) chat(args []string) error {
	if len(args) != 3 {
		return ErrUsage
	}
	s.requests[args[0]] = s.Simulation.Chat(s.Simulation.Node(state.NodeID(args[1])), state.AccountID(args[2]))
	return nil
}

// order implements "order NAME NODE ACCOUNT KEY BODY".
func (s *Script) order(args []string) error {
	if len(args) != 5 {
		return ErrUsage
	}
	n := s.Simulation.Node(state.NodeID(args[1]))
	s.requests[args[0]] = s.Simulation.Order(n, state.AccountID(args[2]), args[3], args[4])
	return nil
}

// out implements "out NAME NODE (data_centre|target) ID".
func (s *Script) out(args []string) error { return s.submitChange(state.ActionDisable, args) }

// in implements "in NAME NODE (data_centre|target) ID".
func (s *Script) in(args []string) error { return s.submitChange(state.ActionEnable, args) }

func (s *Script) submitChange(action state.OperatorAction, args []string) error {
	if len(args) != 4 {
		return ErrUsage
	}
	cmd := state.OperatorCommand{Action: action}
	switch args[2] {
	case "data_centre":
		cmd.DataCentre = state.DataCentre(args[3])
	case "target":
		cmd.Target = state.TargetID(args[3])
	default:
		return ErrUsage
	}
	return s.submitCommand(args[0], args[1], cmd)
}

// preset implements "preset NAME NODE PRESET".
func (s *Script) preset(args []string) error {
	if len(args) != 3 {
		return ErrUsage
	}
	return s.submitCommand(args[0], args[1], state.OperatorCommand{Action: state.ActionPreset, Preset: args[2]})
}

func (s *Script) submitCommand(name, node string, cmd state.OperatorCommand) error {
	n := s.Simulation.Node(state.NodeID(node))
	if n == nil {
		return ErrUsage
	}
	s.replies[name] = nil
	n.SubmitCommand(cmd, func(r state.OperatorReply) { s.replies[name] = &r })
	return nil
}

// settle runs the simulation until all groups are healthy and all live nodes are ready.
// It fails after a limit of one minute by default, unless the mechanism is off.
func (s *Script) settle(args []string) error {
	limit := time.Minute
	if len(args) == 1 {
		d, err := time.ParseDuration(args[0])
		if err != nil {
			return err
		}
		limit = d
	}
	if s.Simulation.RunUntil(limit, s.Simulation.Settled) || s.MechanismOff {
		return nil
	}
	return errors.Errorf("a group is not healthy or a node is not ready after %v", limit)
}

// Settled reports whether all groups are healthy and all live nodes are ready.
func (sim *Simulation) Settled() bool {
	for _, n := range sim.Nodes {
		if n.Alive && !n.Ready {
			return false
		}
	}
	return sim.HealthyGroups() == sim.Options.Groups
}

// HealthyGroups returns the number of groups whose members all serve.
func (sim *Simulation) HealthyGroups() int {
	healthy := 0
	for id, row := range sim.Checks.groupRows {
		if sim.isGroupHealthy(row, id) {
			healthy++
		}
	}
	return healthy
}
