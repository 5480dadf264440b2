package decisions

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/scenario"
)

// Options are the options of a run.
type Options struct {
	// Seed drives all random choices of all measurements.
	Seed uint64
}

// measurement compares one figure with a decision on and with it off.
type measurement struct {
	decision string
	figure   string
	goal     string
	// baseline switches the decision off.
	baseline state.Switches
	// run returns the figure as printed.
	run func(opts scenario.Options) string
}

var measurements = []measurement{
	{
		"verdict on whole groups", "answers lost after a member died, of 400", "streams that had begun at the group",
		state.Switches{IgnoreWholeness: true}, lostAnswersAfterCrash,
	},
	{
		"repair with a spare", "group downtime after a member died, s", "detection + load",
		state.Switches{IgnoreRepair: true}, groupDowntime,
	},
	{
		"repair with a spare", "stranded accelerator seconds", "", state.Switches{IgnoreRepair: true}, strandedTime,
	},
	{
		"freshness of the configuration", "last new work after acceptance, platform up, s", "3",
		state.Switches{IgnoreFreshness: true}, func(o scenario.Options) string { return disableLag(o, false) },
	},
	{
		"freshness of the configuration", "last new work after acceptance, platform down, s", "3",
		state.Switches{IgnoreFreshness: true}, func(o scenario.Options) string { return disableLag(o, true) },
	},
	{
		"fixed shares of cold targets", "starts beyond what a cold target bears", "0",
		state.Switches{IgnoreShares: true}, coldOverloads,
	},
	{
		"claims", "executions of one key, worst of 20", "1", state.Switches{IgnoreClaims: true}, maxExecutionsPerKey,
	},
	{
		"fair shares", "answers of the account that does not flood, %", "100",
		state.Switches{IgnoreFairness: true}, answersDuringFlood,
	},
	{
		"data centre leaves and returns", "drafts answered whole in time, %", "99.9",
		state.Switches{IgnoreWholeness: true, IgnoreShares: true}, dataCentreOutage,
	},
	{
		"rolling restart of the nodes", "drafts answered whole at the first try, %", "100",
		state.Switches{IgnoreDrain: true}, rollingRestart,
	},
}

// Run measures all decisions and writes a table. It returns an error when the
// output cannot be written.
func Run(w io.Writer, opts Options) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(tw, "seed %d\n", opts.Seed)
	_, _ = fmt.Fprintln(tw, "decision\tfigure\tbaseline\tdecision on\tgoal")
	for _, m := range measurements {
		options := scenario.DefaultOptions()
		options.Seed = opts.Seed
		withDecision := m.run(options)
		options.Switches = m.baseline
		withBaseline := m.run(options)
		_, _ = fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\n", m.decision, m.figure, withBaseline, withDecision, m.goal)
	}
	_, _ = fmt.Fprintf(tw, "steady system of 6 nodes\ttable reads, writes a second; peer bytes a second and node\t\t%s\t\n",
		idleCost(opts.Seed))
	return errors.Wrap(tw.Flush(), "write table")
}

const (
	// maxSettleTime bounds the virtual time until all groups are healthy and all
	// nodes are ready.
	maxSettleTime = 2 * time.Minute
	// requestRate is in requests per second.
	requestRate = 20
)

// newSettledSimulation returns a simulation after its start, when all groups are healthy
// and all nodes are ready.
func newSettledSimulation(opts scenario.Options) *scenario.Simulation {
	sim := scenario.New(opts)
	sim.RunUntil(maxSettleTime, sim.Settled)
	return sim
}

// mustAct performs a scenario action. It panics on an error because the actions
// are constants of this package.
func mustAct(sim *scenario.Simulation, args ...string) {
	if err := sim.RunCommand(args); err != nil {
		panic(errors.Wrap(err, "measurement"))
	}
}

// lostAnswersAfterCrash returns the number of refused requests when a member
// crashes under load.
func lostAnswersAfterCrash(opts scenario.Options) string {
	sim := newSettledSimulation(opts)
	sim.StartLoad(requestRate, 20*time.Second, nil)
	sim.ScheduleAfter(3*time.Second, func() { mustAct(sim, "crash", "host", "h2") })
	sim.Run(time.Minute)
	refused := 0
	for _, n := range sim.Metrics.RefusalsByCode {
		refused += n
	}
	return fmt.Sprint(refused)
}

// measureMemberCrash crashes a member without load and returns the group
// downtime and the stranded host time of the following minute.
func measureMemberCrash(opts scenario.Options) (downtime, stranded time.Duration) {
	sim := newSettledSimulation(opts)
	sim.Run(5 * time.Second)
	before := sim.Metrics
	mustAct(sim, "crash", "host", "h2")
	sim.Run(time.Minute)
	return sim.Metrics.Downtime - before.Downtime, sim.Metrics.StrandedTime - before.StrandedTime
}

func groupDowntime(opts scenario.Options) string {
	d, _ := measureMemberCrash(opts)
	return formatSeconds(d)
}

func strandedTime(opts scenario.Options) string {
	_, s := measureMemberCrash(opts)
	return formatSeconds(s)
}

func formatSeconds(d time.Duration) string { return fmt.Sprintf("%.2f", d.Seconds()) }

// disableLag isolates a node from the other nodes and the table service,
// disables a data centre through another node, and returns the time from the
// acceptance of that change to the last new request sent to the data centre.
func disableLag(opts scenario.Options, platformDown bool) string {
	sim := newSettledSimulation(opts)
	isolatedNode := sim.Nodes[1]
	sim.StartLoad(requestRate, time.Minute, isolatedNode)
	sim.StartLoad(requestRate, time.Minute, nil)
	mustAct(sim, "cut", "n2", "n1", "n3", "n4", "n5", "n6", "table")
	sim.Run(time.Second)
	var acceptedAt time.Duration
	cmd := state.OperatorCommand{Action: state.ActionDisable, DataCentre: "coast"}
	sim.Nodes[0].SubmitCommand(cmd, func(r state.OperatorReply) {
		if r.Accepted {
			acceptedAt = sim.Now
		}
		if platformDown {
			mustAct(sim, "platform", "down")
		}
	})
	sim.Run(40 * time.Second)
	if acceptedAt == 0 {
		return "never accepted"
	}
	return formatSeconds(max(0, sim.Metrics.LastAttemptAt["coast"]-acceptedAt))
}

// coldOverloads sends load to targets that have just started and returns the
// number of requests started beyond the limit of a target that is not warm yet.
func coldOverloads(opts scenario.Options) string {
	sim := newSettledSimulation(opts)
	sim.StartLoad(60, 20*time.Second, nil)
	sim.Run(time.Minute)
	return fmt.Sprint(sim.Metrics.ColdOverloads)
}

// maxExecutionsPerKey sends an order, kills the node that handles it after a
// delay that grows with each run, and sends the order again with the same key
// through another node. It returns the largest number of executions in 20 runs
// with different seeds.
func maxExecutionsPerKey(opts scenario.Options) string {
	worst := 0
	for i := range 20 {
		opts.Seed++
		sim := newSettledSimulation(opts)
		sim.Order(sim.Nodes[0], "a1", "k1", "header")
		sim.Run(time.Duration(i) * 2 * time.Millisecond)
		sim.Nodes[0].Kill()
		sim.Run(50 * time.Millisecond)
		sim.Order(sim.Nodes[1], "a1", "k1", "header")
		sim.Run(30 * time.Second)
		worst = max(worst, sim.Checks.Executions("a1/k1"))
	}
	return fmt.Sprint(worst)
}

// answersDuringFlood lets one account send far more requests than the targets
// can serve and returns the percentage of complete answers of another account.
func answersDuringFlood(opts scenario.Options) string {
	sim := newSettledSimulation(opts)
	end := sim.Now + 30*time.Second
	send := func(period time.Duration, account state.AccountID) {
		var sendNext func()
		sendNext = func() {
			if sim.Now >= end {
				return
			}
			if n := sim.PickReadyNode(); n != nil {
				sim.Chat(n, account)
			}
			sim.ScheduleAfter(period, sendNext)
		}
		sendNext()
	}
	send(2*time.Millisecond, "a1")
	send(200*time.Millisecond, "a2")
	sim.Run(90 * time.Second)
	return percentComplete(sim, func(r *scenario.Request) bool { return r.Arrival.Account == "a2" })
}

// percentComplete returns the percentage of complete answers among the requests
// for which include returns true.
func percentComplete(sim *scenario.Simulation, include func(*scenario.Request) bool) string {
	total, complete := 0, 0
	for _, r := range sim.Requests() {
		if !include(r) {
			continue
		}
		total++
		if r.Complete {
			complete++
		}
	}
	return fmt.Sprintf("%.2f", 100*float64(complete)/float64(max(total, 1)))
}

// dataCentreOutage disables a data centre under load, crashes and restarts its
// hosts, and enables it again. It returns the percentage of model requests that
// are answered completely; a repeated request counts by its last try.
func dataCentreOutage(opts scenario.Options) string {
	sim := newSettledSimulation(opts)
	sim.StartLoad(requestRate, 80*time.Second, nil)
	sim.Run(10 * time.Second)
	sim.Nodes[0].SubmitCommand(state.OperatorCommand{Action: state.ActionDisable, DataCentre: "coast"}, nil)
	sim.Run(5 * time.Second)
	mustAct(sim, "domain", "crash", "coast-0")
	sim.Run(20 * time.Second)
	mustAct(sim, "domain", "restart", "coast-0")
	sim.Run(10 * time.Second)
	sim.Nodes[0].SubmitCommand(state.OperatorCommand{Action: state.ActionEnable, DataCentre: "coast"}, nil)
	sim.Run(90 * time.Second)
	return fmt.Sprintf("%.2f", sim.AnsweredShare())
}

// rollingRestart restarts one node after the other under load and returns the
// percentage of complete answers.
func rollingRestart(opts scenario.Options) string {
	sim := newSettledSimulation(opts)
	sim.StartLoad(requestRate, 80*time.Second, nil)
	for _, n := range slices.Clone(sim.Nodes) {
		sim.Run(2 * time.Second)
		n.Shutdown()
		sim.Run(8 * time.Second)
		n.Start()
		sim.Run(2 * time.Second)
	}
	sim.Run(time.Minute)
	return percentComplete(sim, func(*scenario.Request) bool { return true })
}

// idleCost returns the load that an idle system of 6 nodes puts on the platform
// and the network: reads and writes of the table service per second, and bytes
// to peers per second and node.
func idleCost(seed uint64) string {
	opts := scenario.DefaultOptions()
	opts.Seed, opts.MeasureBytes = seed, true
	sim := newSettledSimulation(opts)
	sim.Run(10 * time.Second)
	reads, writes, peerBytes := sim.Store.Reads, sim.Store.Writes, sim.Metrics.PeerBytes
	const windowSeconds = 60
	sim.Run(windowSeconds * time.Second)
	return fmt.Sprintf("%.1f, %.1f; %.0f", float64(sim.Store.Reads-reads)/windowSeconds, float64(sim.Store.Writes-writes)/windowSeconds,
		float64(sim.Metrics.PeerBytes-peerBytes)/windowSeconds/float64(opts.Nodes))
}
