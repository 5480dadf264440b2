package latency

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
)

// Goals of the design for what a node adds.
const (
	goalMedian = time.Millisecond
	goalTail   = 3 * time.Millisecond
	goalMemory = 64 << 10
)

// Options are those of the measurement. Zero values mean the defaults.
type Options struct {
	// Engine and Node are base URLs of an engine and of an entry node in front
	// of it. Without them both are started in this process. Memory, processor
	// time and allocations are measured only then.
	Engine, Node string
	// Key is the caller's key at the node; default "dev".
	Key string
	// Callers are the numbers of concurrent callers; default 1 and 64.
	Callers []int
	// TokenTime is the time between tokens of the engine while latency is
	// measured, in whole milliseconds; default 2 ms. Without it callers that
	// send as fast as they can measure how many requests the processors bear:
	// the node then adds a multiple of its processor time.
	TokenTime time.Duration
	// Requests is the number of requests of each kind per number of callers;
	// default 2000.
	Requests int
	// Streams is the number of streams that are held open at once to measure
	// memory; default 500.
	Streams int
	// Tokens is the length of the streams that measure the relay; default
	// 20000.
	Tokens int
}

func (o Options) withDefaults() Options {
	if o.Key == "" {
		o.Key = "dev"
	}
	if len(o.Callers) == 0 {
		o.Callers = []int{1, 64}
	}
	if o.Requests == 0 {
		o.Requests = 2000
	}
	if o.TokenTime == 0 {
		o.TokenTime = 2 * time.Millisecond
	}
	if o.Streams == 0 {
		o.Streams = 500
	}
	if o.Tokens == 0 {
		o.Tokens = 20000
	}
	return o
}

// Added is the time that a node adds for one kind of request.
type Added struct {
	Stream  bool
	Callers int
	// Direct and Through are times up to the end of a plain answer and up to
	// the first event of a stream.
	Direct, Through Times
}

// Times are percentiles.
type Times struct{ Median, Tail time.Duration }

// Report holds the figures of a run.
type Report struct {
	Added []Added
	// TokensPerCore is the number of tokens relayed per second of processor
	// time of the node; MemoryPerStream is in bytes. They are 0 when the node
	// runs elsewhere.
	TokensPerCore         float64
	MemoryPerStream       int64
	AllocationsPerPlain   float64
	AllocationsPerStream  float64
	AllocatedBytesPerCall float64
}

// Run measures and writes the figures.
func Run(w io.Writer, opts Options) error {
	report, err := Measure(context.Background(), opts)
	if err != nil {
		return err
	}
	return report.Write(w)
}

// Measure returns the figures of one run.
func Measure(ctx context.Context, opts Options) (Report, error) {
	opts = opts.withDefaults()
	var report Report
	c := &caller{client: newClient(), key: opts.Key}
	engine, entry := opts.Engine, opts.Node
	var own *rig
	if engine == "" || entry == "" {
		var err error
		if own, err = newRig(ctx, opts.Tokens); err != nil {
			return report, err
		}
		defer own.close()
		if err := own.wait(ctx, c); err != nil {
			return report, err
		}
		engine, entry = own.engineURL, own.nodeURL
		// Memory comes first: finished generations of the other measurements
		// stay in the engine for a while and would be counted when they go.
		if err := own.memory(ctx, opts, c, &report); err != nil {
			return report, err
		}
		if err := own.fault(tokenDelay(opts.TokenTime)); err != nil {
			return report, err
		}
	}
	for _, stream := range []bool{false, true} {
		for _, callers := range opts.Callers {
			added, err := measureTimes(ctx, c, engine, entry, callers, opts.Requests, stream)
			if err != nil {
				return report, err
			}
			report.Added = append(report.Added, added)
		}
	}
	if own == nil {
		return report, nil
	}
	if err := own.fault(`{"action":"clear"}`); err != nil {
		return report, err
	}
	return report, own.measureResources(ctx, opts, c, &report)
}

// Write writes the figures as text, with the goals that they meet or miss.
func (r Report) Write(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	line("request\tcallers\tdirect p50\tdirect p99\tthrough p50\tthrough p99\tadded p50\tadded p99\tgoal")
	for _, a := range r.Added {
		kind := "plain"
		if a.Stream {
			kind = "stream, first event"
		}
		median, tail := a.Through.Median-a.Direct.Median, a.Through.Tail-a.Direct.Tail
		line("%s\t%d\t%v\t%v\t%v\t%v\t%v\t%v\t%s", kind, a.Callers, a.Direct.Median, a.Direct.Tail,
			a.Through.Median, a.Through.Tail, median, tail, verdict(median <= goalMedian && tail <= goalTail))
	}
	if r.MemoryPerStream != 0 {
		if r.TokensPerCore > 0 {
			line("tokens relayed per second of processor time\t%.0f", r.TokensPerCore)
		} else {
			line("tokens relayed per second of processor time\tnot measured: the difference of processor times is below the noise")
		}
		line("memory per open stream\t%d bytes\t%s", r.MemoryPerStream, verdict(r.MemoryPerStream <= goalMemory))
		line("allocations per plain request\t%.0f", r.AllocationsPerPlain)
		line("allocations per streamed request\t%.0f", r.AllocationsPerStream)
		line("bytes allocated per plain request\t%.0f", r.AllocatedBytesPerCall)
	}
	return errors.Wrap(w.Flush(), "write figures")
}

func tokenDelay(d time.Duration) string {
	return fmt.Sprintf(`{"action":"slow","delay_ms":%d}`, d.Milliseconds())
}

func verdict(met bool) string {
	if met {
		return "met"
	}
	return "missed"
}
