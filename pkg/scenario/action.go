package scenario

import (
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// ErrUsage means that a command of a scenario has the wrong words.
var ErrUsage = errors.New("wrong words, see the list of commands in docs/scenarios.md")

// Act carries out one command of a scenario at once.
func (w *World) Act(args []string) error {
	if len(args) == 0 {
		return ErrUsage
	}
	action, ok := actions[args[0]]
	if !ok || len(args)-1 < action.words {
		return errors.Wrapf(ErrUsage, "%v", args)
	}
	return errors.Wrapf(action.run(w, args[1:]), "%v", args)
}

type action struct {
	// words is the smallest number of words after the name.
	words int
	run   func(w *World, args []string) error
}

var actions = map[string]action{
	"crash":    {2, lifeAction((*Node).Kill, (*Engine).Kill, func(s *Service) { s.Alive = false })},
	"restart":  {2, lifeAction((*Node).Start, (*Engine).Restart, func(s *Service) { s.Alive = true })},
	"pause":    {2, lifeAction((*Node).Pause, (*Engine).Pause, nil)},
	"resume":   {2, lifeAction((*Node).Resume, (*Engine).Resume, nil)},
	"shutdown": {2, lifeAction((*Node).Shutdown, nil, nil)},
	"cold":     {2, lifeAction(nil, (*Engine).TurnCold, nil)},
	"slow":     {2, slow},
	"domain":   {2, domain},
	"service":  {2, serviceMode},
	"platform": {1, platformFault},
	"cut":      {2, cut},
	"cut-one-way": {2, func(w *World, args []string) error {
		w.Network.CutOneWay(args[0], args[1])
		return nil
	}},
	"delay":   {3, delay},
	"late":    {2, late},
	"heal":    {0, heal},
	"isolate": {1, func(w *World, args []string) error { w.Isolate(state.DataCentre(args[0])); return nil }},
	"silence": {1, silence},
	"load":    {2, load},
	"list":    {1, listLeaving},
}

func lifeAction(node func(*Node), engine func(*Engine), service func(*Service)) func(*World, []string) error {
	return func(w *World, args []string) error {
		n, e, s := w.Node(state.NodeID(args[1])), w.Engine(state.HostID(args[1])), w.Service(state.TargetID(args[1]))
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

func slow(w *World, args []string) error {
	e := w.Engine(state.HostID(args[0]))
	d, err := time.ParseDuration(args[1])
	if err != nil || e == nil {
		return ErrUsage
	}
	e.Slow = d
	return nil
}

// domain kills or restarts all hosts of a fabric domain.
func domain(w *World, args []string) error {
	for _, e := range w.Engines {
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

func serviceMode(w *World, args []string) error {
	modes := map[string]ServiceMode{"good": ServiceGood, "resets": ServiceResets, "silent": ServiceSilent}
	mode, ok := modes[args[1]]
	if !ok {
		return ErrUsage
	}
	for _, s := range w.Services {
		if args[0] == "all" || string(s.ID) == args[0] {
			s.Mode = mode
		}
	}
	return nil
}

func platformFault(w *World, args []string) error {
	w.Log("platform %v", args)
	s := w.Store
	switch args[0] {
	case "down":
		s.Down = true
		return nil
	case "silent":
		s.Silent = true
		return nil
	case "up":
		s.Down, s.Silent, s.Slow, s.LoseAnswers = false, false, 0, 0
		return nil
	}
	if len(args) < 2 {
		return ErrUsage
	}
	if args[0] == "slow" {
		d, err := time.ParseDuration(args[1])
		s.Slow = d
		return err
	}
	n, err := strconv.Atoi(args[1])
	s.LoseAnswers = n
	return err
}

func cut(w *World, args []string) error {
	w.Log("cut %v", args)
	for _, b := range args[1:] {
		w.Network.Cut(args[0], b)
	}
	return nil
}

func delay(w *World, args []string) error {
	d, err := time.ParseDuration(args[2])
	w.Network.Delay(args[0], args[1], d)
	return err
}

// late holds back what comes over the present connections of a node.
func late(w *World, args []string) error {
	n := w.Node(state.NodeID(args[0]))
	d, err := time.ParseDuration(args[1])
	if n == nil || err != nil {
		return ErrUsage
	}
	w.LateConnections(n, d)
	return nil
}

func heal(w *World, args []string) error {
	w.Log("heal %v", args)
	if len(args) == 2 {
		w.Network.HealBetween(args[0], args[1])
		return nil
	}
	w.Network.Heal()
	return nil
}

func silence(w *World, args []string) error {
	n := w.Node(state.NodeID(args[0]))
	if n == nil {
		return ErrUsage
	}
	target := state.TargetID("")
	if len(args) > 1 {
		target = state.TargetID(args[1])
	}
	w.SilenceConnections(n, target)
	return nil
}

func load(w *World, args []string) error {
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
		if node = w.Node(state.NodeID(args[2])); node == nil {
			return ErrUsage
		}
	}
	w.Load(rate, d, node)
	return nil
}

// listLeaving marks hosts as leaving in the platform's list.
func listLeaving(w *World, args []string) error {
	var hosts []state.ListedHost
	for _, e := range w.Engines {
		for _, id := range args {
			if string(e.Host.ID) == id {
				e.Host.Leaving = true
			}
		}
		hosts = append(hosts, e.Host)
	}
	w.Store.Memory.SetHosts(hosts)
	return nil
}
