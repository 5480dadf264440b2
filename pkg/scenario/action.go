package scenario

import (
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// ErrUsage means that a command of a scenario is unknown or has invalid arguments.
var ErrUsage = errors.New("unknown command or invalid arguments: docs/scenarios.md lists the commands")

// RunCommand runs one command of the scenario language immediately.
func (sim *Simulation) RunCommand(args []string) error {
	if len(args) == 0 {
		return ErrUsage
	}
	action, ok := actions[args[0]]
	if !ok || len(args)-1 < action.minArgs {
		return errors.Wrapf(ErrUsage, "%v", args)
	}
	return errors.Wrapf(action.run(sim, args[1:]), "%v", args)
}

type action struct {
	// minArgs is the number of required arguments after the name of the command.
	minArgs int
	run     func(sim *Simulation, args []string) error
}

var actions = map[string]action{
	"crash":    {2, lifecycleAction((*Node).Kill, (*Engine).Kill, func(s *Service) { s.Alive = false })},
	"restart":  {2, lifecycleAction((*Node).Start, (*Engine).Restart, func(s *Service) { s.Alive = true })},
	"pause":    {2, lifecycleAction((*Node).Pause, (*Engine).Pause, nil)},
	"resume":   {2, lifecycleAction((*Node).Resume, (*Engine).Resume, nil)},
	"shutdown": {2, lifecycleAction((*Node).Shutdown, nil, nil)},
	"cold":     {2, lifecycleAction(nil, (*Engine).ResetToColdLimit, nil)},
	"slow":     {2, slowEngine},
	"domain":   {2, crashOrRestartDomain},
	"service":  {2, setServiceMode},
	"platform": {1, setPlatformFault},
	"cut":      {2, cutNetwork},
	"cut-one-way": {2, func(sim *Simulation, args []string) error {
		sim.Network.CutOneWay(args[0], args[1])
		return nil
	}},
	"delay":   {3, delayMessages},
	"late":    {2, delayConnections},
	"heal":    {0, healNetwork},
	"isolate": {1, func(sim *Simulation, args []string) error { sim.Isolate(state.DataCentre(args[0])); return nil }},
	"silence": {1, silenceConnections},
	"load":    {2, startLoad},
	"list":    {1, markHostsLeaving},
}

// lifecycleAction returns a command that applies a function to the node, host or
// service that its arguments name. A nil function means that the command does not
// apply to that kind.
func lifecycleAction(node func(*Node), engine func(*Engine), service func(*Service)) func(*Simulation, []string) error {
	return func(sim *Simulation, args []string) error {
		n, e, s := sim.Node(state.NodeID(args[1])), sim.Engine(state.HostID(args[1])), sim.Service(state.TargetID(args[1]))
		switch {
		case args[0] == "node" && node != nil && n != nil:
			node(n)
		case args[0] == "host" && engine != nil && e != nil:
			engine(e)
		case args[0] == "service" && service != nil && s != nil:
			service(s)
		default:
			return ErrUsage
		}
		return nil
	}
}

func slowEngine(sim *Simulation, args []string) error {
	e := sim.Engine(state.HostID(args[0]))
	d, err := time.ParseDuration(args[1])
	if err != nil || e == nil {
		return ErrUsage
	}
	e.AnswerDelay = d
	return nil
}

// crashOrRestartDomain kills or restarts the engines of all hosts of a fabric domain.
func crashOrRestartDomain(sim *Simulation, args []string) error {
	for _, e := range sim.Engines {
		if string(e.Host.Domain) != args[1] {
			continue
		}
		switch args[0] {
		case "crash":
			e.Kill()
		case "restart":
			e.Restart()
		default:
			return ErrUsage
		}
	}
	return nil
}

func setServiceMode(sim *Simulation, args []string) error {
	modes := map[string]ServiceMode{"good": ServiceHealthy, "resets": ServiceResets, "silent": ServiceSilent}
	mode, ok := modes[args[1]]
	if !ok {
		return ErrUsage
	}
	for _, s := range sim.Services {
		if args[0] == "all" || string(s.ID) == args[0] {
			s.Mode = mode
		}
	}
	return nil
}

func setPlatformFault(sim *Simulation, args []string) error {
	sim.Log("platform %v", args)
	s := sim.Store
	switch args[0] {
	case "down":
		s.Down = true
		return nil
	case "silent":
		s.Silent = true
		return nil
	case "up":
		s.Down, s.Silent, s.ExtraLatency, s.LostAnswerPercent = false, false, 0, 0
		return nil
	}
	if len(args) < 2 {
		return ErrUsage
	}
	if args[0] == "slow" {
		d, err := time.ParseDuration(args[1])
		s.ExtraLatency = d
		return err
	}
	n, err := strconv.Atoi(args[1])
	s.LostAnswerPercent = n
	return err
}

func cutNetwork(sim *Simulation, args []string) error {
	sim.Log("cut %v", args)
	for _, b := range args[1:] {
		sim.Network.Cut(args[0], b)
	}
	return nil
}

func delayMessages(sim *Simulation, args []string) error {
	d, err := time.ParseDuration(args[2])
	sim.Network.SetDelay(args[0], args[1], d)
	return err
}

// delayConnections delays the answers on the open connections of a node.
func delayConnections(sim *Simulation, args []string) error {
	n := sim.Node(state.NodeID(args[0]))
	d, err := time.ParseDuration(args[1])
	if n == nil || err != nil {
		return ErrUsage
	}
	sim.DelayConnections(n, d)
	return nil
}

func healNetwork(sim *Simulation, args []string) error {
	sim.Log("heal %v", args)
	if len(args) == 2 {
		sim.Network.HealBetween(args[0], args[1])
		return nil
	}
	sim.Network.Heal()
	return nil
}

func silenceConnections(sim *Simulation, args []string) error {
	n := sim.Node(state.NodeID(args[0]))
	if n == nil {
		return ErrUsage
	}
	target := state.TargetID("")
	if len(args) > 1 {
		target = state.TargetID(args[1])
	}
	sim.SilenceConnections(n, target)
	return nil
}

func startLoad(sim *Simulation, args []string) error {
	rate, err := strconv.Atoi(args[0])
	if err != nil {
		return ErrUsage
	}
	d, err := time.ParseDuration(args[1])
	if err != nil {
		return ErrUsage
	}
	var node *Node
	if len(args) > 2 {
		if node = sim.Node(state.NodeID(args[2])); node == nil {
			return ErrUsage
		}
	}
	sim.StartLoad(rate, d, node)
	return nil
}

// markHostsLeaving marks hosts as leaving in the host list of the platform.
func markHostsLeaving(sim *Simulation, args []string) error {
	var hosts []state.ListedHost
	for _, e := range sim.Engines {
		for _, id := range args {
			if string(e.Host.ID) == id {
				e.Host.Leaving = true
			}
		}
		hosts = append(hosts, e.Host)
	}
	sim.Store.Memory.SetHosts(hosts)
	return nil
}
