package scenario_test

import (
	"fmt"
	"os"
	"regexp"
	"runtime/debug"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/scenario"
)

const (
	// defaultSchedules is the number of schedules of a run in CI.
	defaultSchedules = 2000
	// defaultSeed is the seed of the first schedule. Each further schedule adds one.
	defaultSeed = 20261204
	shardCount  = 10
	gcPercent   = 400
	faultWindow = 30 * time.Second
	// recoveryLimit is the time within which all groups must be healthy and all nodes
	// ready after all faults have ended: the time until a group is abandoned, two
	// lease durations and a load.
	recoveryLimit = 90 * time.Second
)

// step is one command of a schedule at a time after the start of the faults.
type step struct {
	at   time.Duration
	args []string
}

// schedule is a random list of faults, operator commands and service orders.
type schedule struct{ steps []step }

func (s schedule) String() string {
	var b strings.Builder
	for _, st := range s.steps {
		fmt.Fprintf(&b, "at %v %s\n", st.at, strings.Join(st.args, " "))
	}
	return b.String()
}

var (
	nodes       = []string{"n1", "n2", "n3", "n4", "n5", "n6"}
	hosts       = []string{"h1", "h2", "h3", "h4", "h5", "h6", "h7", "h8", "h9", "h10", "h11", "h12", "h13", "h14", "h15"}
	dataCentres = []string{"north", "coast", "inland"}
	targets     = []string{"g1", "g2", "g3", "g4", "g5", "g6"}
	keys        = []string{"k1", "k2", "k3", "k4"}
)

// commands holds the commands from which schedules are drawn. A placeholder in angle
// brackets is replaced by a random one of its placeholderValues. A repeated command is
// drawn more often.
var commands = []string{
	"crash host <host>", "restart host <host>", "pause host <host>", "resume host <host>", "cold host <host>",
	"crash node <node>", "restart node <node>", "pause node <node>", "resume node <node>", "shutdown node <node>",
	"domain crash <centre>-0", "domain restart <centre>-0", "isolate <centre>",
	"cut <node> <node>", "cut <node> table", "cut <node> <host>", "cut-one-way <node> <node>",
	"cut-one-way table <node>", "cut-one-way <node> table", "heal", "silence <node>",
	"platform down", "platform silent", "platform slow 800ms", "platform lose 50", "platform up", "platform up",
	"service all resets", "service all silent", "service all good",
	"out <node> data_centre <centre>", "in <node> data_centre <centre>",
	"out <node> target <target>", "in <node> target <target>", "preset <node> peak", "preset <node> maintenance",
	"order <node> a1 <key>", "order <node> a1 <key>", "order <node> a2 <key>",
}

var placeholderValues = map[string][]string{
	"<node>": nodes, "<host>": hosts, "<centre>": dataCentres, "<target>": targets, "<key>": keys,
}

var placeholder = regexp.MustCompile(`<\w+>`)

var stepGen = rapid.Custom(func(t *rapid.T) step {
	at := time.Duration(rapid.IntRange(0, int(faultWindow/time.Millisecond)).Draw(t, "at")) * time.Millisecond
	args := strings.Fields(rapid.SampledFrom(commands).Draw(t, "kind"))
	for i, arg := range args {
		name := placeholder.FindString(arg)
		if name != "" {
			args[i] = placeholder.ReplaceAllString(arg, rapid.SampledFrom(placeholderValues[name]).Draw(t, name))
		}
	}
	return step{at, args}
})

var scheduleGen = rapid.Custom(func(t *rapid.T) schedule {
	return schedule{rapid.SliceOfN(stepGen, 3, 16).Draw(t, "steps")}
})

// runSchedule runs a schedule and returns the violations and the trace.
func runSchedule(s schedule, seed uint64) (violations []string, trace []string) {
	opts := scenario.DefaultOptions()
	opts.Seed, opts.Unfenced = seed, seed%2 == 0
	sim := scenario.New(opts)
	sim.RunUntil(time.Minute, sim.Settled)
	sim.StartLoad(10, faultWindow+10*time.Second, nil)
	for _, st := range s.steps {
		sim.ScheduleAfter(st.at, func() { runCommand(sim, st.args) })
	}
	sim.Run(faultWindow)
	endAllFaults(sim)
	if !sim.RunUntil(recoveryLimit, sim.Settled) {
		sim.Checks.Violations = append(sim.Checks.Violations,
			fmt.Sprintf("recovery: %d of %d groups are healthy %v after all faults ended", sim.HealthyGroups(), opts.Groups, recoveryLimit))
	}
	sim.Run(40 * time.Second)
	for _, r := range sim.Requests() {
		if !r.Ended && !r.Disconnected && sim.Now-r.SentAt > 45*time.Second {
			sim.Checks.Violations = append(sim.Checks.Violations, fmt.Sprintf("ending: request %s has no final answer", r.Arrival.ID))
		}
	}
	return sim.Checks.Violations, sim.Trace
}

func runCommand(sim *scenario.Simulation, args []string) {
	switch args[0] {
	case "order":
		sim.Order(sim.Node(state.NodeID(args[1])), state.AccountID(args[2]), args[3], "body")
	case "out", "in", "preset":
		submitChange(sim, args)
	default:
		if err := sim.RunCommand(args); err != nil {
			panic(err)
		}
	}
}

func submitChange(sim *scenario.Simulation, args []string) {
	n := sim.Node(state.NodeID(args[1]))
	if !n.Alive || n.Paused {
		return
	}
	cmd := state.OperatorCommand{Action: state.ActionDisable}
	switch {
	case args[0] == "preset":
		cmd.Action, cmd.Preset = state.ActionPreset, args[2]
	case args[2] == "target":
		cmd.Target = state.TargetID(args[3])
	default:
		cmd.DataCentre = state.DataCentre(args[3])
	}
	if args[0] == "in" {
		cmd.Action = state.ActionEnable
	}
	n.SubmitCommand(cmd, nil)
}

// endAllFaults ends all cuts, delays and platform faults, resumes paused processes and
// restarts stopped or draining ones.
func endAllFaults(sim *scenario.Simulation) {
	sim.Network.Heal()
	runCommand(sim, []string{"platform", "up"})
	runCommand(sim, []string{"service", "all", "good"})
	for _, n := range sim.Nodes {
		if n.Paused {
			n.Resume()
		}
		if !n.Alive || n.Draining {
			n.Start()
		}
	}
	for _, e := range sim.Engines {
		if e.Paused {
			e.Resume()
		}
		if !e.Alive {
			e.Restart()
		}
	}
}

// shrink removes the steps without which the schedule still fails.
func shrink(s schedule, seed uint64) schedule {
	for i := len(s.steps) - 1; i >= 0; i-- {
		shorter := schedule{append(append([]step{}, s.steps[:i]...), s.steps[i+1:]...)}
		if violations, _ := runSchedule(shorter, seed); len(violations) > 0 {
			s = shorter
		}
	}
	return s
}

// TestRandomSchedules guards against combinations of faults that violate one of the
// invariants I1 to I10 or prevent the recovery after all faults, and that no scenario
// script contains. The environment variables SCHEDULES and SEED set the number of
// schedules and the first seed. Each schedule depends on its seed alone.
func TestRandomSchedules(t *testing.T) {
	count, first := intFromEnv("SCHEDULES", defaultSchedules), intFromEnv("SEED", defaultSeed)
	// Simulations are small and live briefly. Fewer garbage collections save time at
	// an acceptable cost in memory.
	previous := debug.SetGCPercent(gcPercent)
	t.Cleanup(func() { debug.SetGCPercent(previous) })
	t.Logf("%d schedules from seed %d", count, first)
	for shard := range shardCount {
		t.Run(strconv.Itoa(shard), func(t *testing.T) {
			t.Parallel()
			for i := shard; i < count; i += shardCount {
				checkSeed(t, first+i)
			}
		})
	}
}

func checkSeed(t *testing.T, seed int) {
	t.Helper()
	s := scheduleGen.Example(seed)
	violations, _ := runSchedule(s, uint64(seed))
	if len(violations) == 0 {
		return
	}
	s = shrink(s, uint64(seed))
	violations, trace := runSchedule(s, uint64(seed))
	if dir := os.Getenv("TRACES"); dir != "" {
		_ = os.WriteFile(fmt.Sprintf("%s/%d.txt", dir, seed), []byte(strings.Join(trace, "\n")), 0o600)
	}
	t.Errorf("seed %d violates %v with schedule\n%v", seed, violations[:min(3, len(violations))], s)
}

func intFromEnv(name string, fallback int) int {
	n, err := strconv.Atoi(os.Getenv(name))
	if err != nil {
		return fallback
	}
	return n
}
