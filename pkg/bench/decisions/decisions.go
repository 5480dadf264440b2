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

// Options sets what is measured.
type Options struct {
	// Seed drives all random choices of all measurements.
	Seed uint64
}

// measurement compares one figure of the decision with its baseline.
type measurement struct {
	decision string
	figure   string
	goal     string
	// baseline switches the decision off.
	baseline state.Switches
	run      func(opts scenario.Options) string
}

var measurements = []measurement{
	{
		"verdict on whole groups", "answers lost after a member died, of 400", "streams that had begun at the group",
		state.Switches{IgnoreWholeness: true}, memberDies,
	},
	{
		"repair with a spare", "group downtime after a member died, s", "detection + load",
		state.Switches{IgnoreRepair: true}, downtime,
	},
	{
		"repair with a spare", "stranded accelerator seconds", "", state.Switches{IgnoreRepair: true}, stranded,
	},
	{
		"freshness of the configuration", "last new work after acceptance, platform up, s", "3",
		state.Switches{IgnoreFreshness: true}, func(o scenario.Options) string { return outLag(o, false) },
	},
	{
		"freshness of the configuration", "last new work after acceptance, platform down, s", "3",
		state.Switches{IgnoreFreshness: true}, func(o scenario.Options) string { return outLag(o, true) },
	},
	{
		"fixed shares of cold targets", "starts beyond what a cold target bears", "0",
		state.Switches{IgnoreShares: true}, coldStart,
	},
	{
		"claims", "executions of one key, worst of 20", "1", state.Switches{IgnoreClaims: true}, executions,
	},
	{
		"fair shares", "answers of the account that does not flood, %", "100",
		state.Switches{IgnoreFairness: true}, fairness,
	},
	{
		"data centre leaves and returns", "drafts answered whole in time, %", "99.9",
		state.Switches{IgnoreWholeness: true, IgnoreShares: true}, centreMoves,
	},
	{
		"rolling restart of the nodes", "drafts answered whole at the first try, %", "100",
		state.Switches{IgnoreDrain: true}, rollingRestart,
	},
}

// Run measures all decisions and prints a table. It fails when the output
// cannot be written.
func Run(w io.Writer, opts Options) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(tw, "seed %d\n", opts.Seed)
	_, _ = fmt.Fprintln(tw, "decision\tfigure\tbaseline\tdecision on\tgoal")
	for _, m := range measurements {
		world := scenario.DefaultOptions()
		world.Seed = opts.Seed
		on := m.run(world)
		world.Switches = m.baseline
		off := m.run(world)
		_, _ = fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\n", m.decision, m.figure, off, on, m.goal)
	}
	_, _ = fmt.Fprintf(tw, "steady system of 6 nodes\ttable reads, writes a second; peer bytes a second and node\t\t%s\t\n",
		steady(opts.Seed))
	return errors.Wrap(tw.Flush(), "write table")
}

const (
	settleLimit = 2 * time.Minute
	rate        = 20
)

func settled(opts scenario.Options) *scenario.World {
	w := scenario.New(opts)
	w.RunUntil(settleLimit, w.Settled)
	return w
}

func act(w *scenario.World, args ...string) {
	if err := w.Act(args); err != nil {
		panic(errors.Wrap(err, "measurement"))
	}
}

func memberDies(opts scenario.Options) string {
	w := settled(opts)
	w.Load(rate, 20*time.Second, nil)
	w.After(3*time.Second, func() { act(w, "crash", "host", "h2") })
	w.Run(time.Minute)
	refused := 0
	for _, n := range w.Metrics.Refused {
		refused += n
	}
	return fmt.Sprint(refused)
}

// baseDowntime runs a member's death and returns the metrics of what followed.
func baseDowntime(opts scenario.Options) (downtime, stranded time.Duration) {
	w := settled(opts)
	w.Run(5 * time.Second)
	before := w.Metrics
	act(w, "crash", "host", "h2")
	w.Run(time.Minute)
	return w.Metrics.Downtime - before.Downtime, w.Metrics.Stranded - before.Stranded
}

func downtime(opts scenario.Options) string {
	d, _ := baseDowntime(opts)
	return seconds(d)
}

func stranded(opts scenario.Options) string {
	_, s := baseDowntime(opts)
	return seconds(s)
}

func seconds(d time.Duration) string { return fmt.Sprintf("%.2f", d.Seconds()) }

// outLag cuts a node off, takes a data centre out, and returns how long after
// acceptance the last new work left for it.
func outLag(opts scenario.Options, platformDown bool) string {
	w := settled(opts)
	cutOff := w.Nodes[1]
	w.Load(rate, time.Minute, cutOff)
	w.Load(rate, time.Minute, nil)
	act(w, "cut", "n2", "n1", "n3", "n4", "n5", "n6", "table")
	w.Run(time.Second)
	var acceptedAt time.Duration
	cmd := state.OperatorCommand{Action: state.ActionDisable, DataCentre: "coast"}
	w.Nodes[0].Operate(cmd, func(r state.OperatorReply) {
		if r.Accepted {
			acceptedAt = w.Now
		}
		if platformDown {
			act(w, "platform", "down")
		}
	})
	w.Run(40 * time.Second)
	if acceptedAt == 0 {
		return "never accepted"
	}
	return seconds(max(0, w.Metrics.LastSent["coast"]-acceptedAt))
}

func coldStart(opts scenario.Options) string {
	w := settled(opts)
	w.Load(60, 20*time.Second, nil)
	w.Run(time.Minute)
	return fmt.Sprint(w.Metrics.ColdOverloads)
}

func executions(opts scenario.Options) string {
	worst := 0
	for i := range 20 {
		opts.Seed++
		w := settled(opts)
		w.Order(w.Nodes[0], "a1", "k1", "header")
		w.Run(time.Duration(i) * 2 * time.Millisecond)
		w.Nodes[0].Kill()
		w.Run(50 * time.Millisecond)
		w.Order(w.Nodes[1], "a1", "k1", "header")
		w.Run(30 * time.Second)
		worst = max(worst, w.Checks.Executions("a1/k1"))
	}
	return fmt.Sprint(worst)
}

// fairness lets one account send far more than the targets bear.
func fairness(opts scenario.Options) string {
	w := settled(opts)
	end := w.Now + 30*time.Second
	send := func(period time.Duration, account state.AccountID) {
		var next func()
		next = func() {
			if w.Now >= end {
				return
			}
			if n := w.Balance(); n != nil {
				w.Chat(n, account)
			}
			w.After(period, next)
		}
		next()
	}
	send(2*time.Millisecond, "a1")
	send(200*time.Millisecond, "a2")
	w.Run(90 * time.Second)
	return percentOf(w, func(r *scenario.Request) bool { return r.Arrival.Account == "a2" })
}

func percentOf(w *scenario.World, counts func(*scenario.Request) bool) string {
	all, whole := 0, 0
	for _, r := range w.Requests() {
		if !counts(r) {
			continue
		}
		all++
		if r.Whole {
			whole++
		}
	}
	return fmt.Sprintf("%.2f", 100*float64(whole)/float64(max(all, 1)))
}

func centreMoves(opts scenario.Options) string {
	w := settled(opts)
	w.Load(rate, 80*time.Second, nil)
	w.Run(10 * time.Second)
	w.Nodes[0].Operate(state.OperatorCommand{Action: state.ActionDisable, DataCentre: "coast"}, nil)
	w.Run(5 * time.Second)
	act(w, "domain", "crash", "coast-0")
	w.Run(20 * time.Second)
	act(w, "domain", "restart", "coast-0")
	w.Run(10 * time.Second)
	w.Nodes[0].Operate(state.OperatorCommand{Action: state.ActionEnable, DataCentre: "coast"}, nil)
	w.Run(90 * time.Second)
	return fmt.Sprintf("%.2f", w.AnsweredShare())
}

func rollingRestart(opts scenario.Options) string {
	w := settled(opts)
	w.Load(rate, 80*time.Second, nil)
	for _, n := range slices.Clone(w.Nodes) {
		w.Run(2 * time.Second)
		n.Shutdown()
		w.Run(8 * time.Second)
		n.Start()
		w.Run(2 * time.Second)
	}
	w.Run(time.Minute)
	return percentOf(w, func(*scenario.Request) bool { return true })
}

// steady returns what an idle system of 6 nodes costs the platform and the
// network.
func steady(seed uint64) string {
	opts := scenario.DefaultOptions()
	opts.Seed, opts.MeasureBytes = seed, true
	w := settled(opts)
	w.Run(10 * time.Second)
	reads, writes, bytes := w.Store.Reads, w.Store.Writes, w.Metrics.PeerBytes
	const span = 60
	w.Run(span * time.Second)
	return fmt.Sprintf("%.1f, %.1f; %.0f", float64(w.Store.Reads-reads)/span, float64(w.Store.Writes-writes)/span,
		float64(w.Metrics.PeerBytes-bytes)/span/float64(opts.Nodes))
}
