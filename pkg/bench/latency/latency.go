package latency

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
)

// Goals of the design for the overhead of a node. goalTail is for the 99th
// percentile.
const (
	goalMedian      = time.Millisecond
	goalTail        = 3 * time.Millisecond
	goalStreamBytes = 64 << 10
)

// Options are the options of a run. Zero values mean the defaults.
type Options struct {
	// Engine and Node are the base URLs of an engine and of an entry node in
	// front of it. If either is empty, both are started in this process. Memory,
	// processor time and allocations are measured only in that case.
	Engine, Node string
	// Key is the caller key that requests present to the node; default "dev".
	Key string
	// Callers are the numbers of concurrent callers; default 1 and 64.
	Callers []int
	// TokenTime is the time between tokens of the engine while latency is
	// measured, in whole milliseconds; default 2 ms. Without a pause between
	// tokens, callers that send as fast as they can saturate the processors:
	// the run then measures how many requests these can handle, and the node
	// adds a multiple of its processor time.
	TokenTime time.Duration
	// Requests is the number of requests of each kind for each entry of Callers;
	// default 2000.
	Requests int
	// Streams is the number of concurrently open streams for the measurement of
	// memory; default 500.
	Streams int
	// Tokens is the length in tokens of the streams for the measurement of
	// processor time per token; default 20000.
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

// AddedLatency compares direct calls with calls through the node, for one kind
// of request and one number of callers.
type AddedLatency struct {
	Stream  bool
	Callers int
	// Direct and Through are the times of direct calls and of calls through the
	// node, up to the end of a plain answer or the first event of a stream.
	Direct, Through Percentiles
}

// Percentiles holds the median and the 99th percentile (Tail) of a set of times.
type Percentiles struct{ Median, Tail time.Duration }

// Report holds the figures of a run. It is encoded as JSON with the names of its
// fields.
type Report struct {
	Added []AddedLatency
	// TokensPerCore is the number of tokens relayed per second of processor
	// time of the node; MemoryPerStream is in bytes. This and all following
	// fields are 0 when the node runs in another process.
	TokensPerCore         float64
	MemoryPerStream       int64
	AllocationsPerPlain   float64
	AllocationsPerStream  float64
	AllocatedBytesPerCall float64
}

// Run measures and writes the figures as text.
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
	engineURL, nodeURL := opts.Engine, opts.Node
	var localRig *rig
	if engineURL == "" || nodeURL == "" {
		var err error
		if localRig, err = newRig(ctx, opts.Tokens); err != nil {
			return report, err
		}
		defer localRig.close()
		if err := localRig.waitUntilReady(ctx, c); err != nil {
			return report, err
		}
		engineURL, nodeURL = localRig.engineURL, localRig.nodeURL
		// Memory is measured first because the engine keeps finished generations
		// of the other measurements for a while. Their release would distort the
		// difference.
		if err := localRig.measureStreamMemory(ctx, opts, c, &report); err != nil {
			return report, err
		}
		if err := localRig.injectFault(tokenDelayFault(opts.TokenTime)); err != nil {
			return report, err
		}
	}
	for _, stream := range []bool{false, true} {
		for _, callers := range opts.Callers {
			added, err := measureTimes(ctx, c, engineURL, nodeURL, callers, opts.Requests, stream)
			if err != nil {
				return report, err
			}
			report.Added = append(report.Added, added)
		}
	}
	if localRig == nil {
		return report, nil
	}
	if err := localRig.injectFault(`{"action":"clear"}`); err != nil {
		return report, err
	}
	return report, localRig.measureResources(ctx, opts, c, &report)
}

// Write writes the figures as text and states which goals are met.
func (r Report) Write(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	writeLine := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	writeLine("request\tcallers\tdirect p50\tdirect p99\tthrough p50\tthrough p99\tadded p50\tadded p99\tgoal")
	for _, a := range r.Added {
		kind := "plain"
		if a.Stream {
			kind = "stream, first event"
		}
		addedMedian, addedTail := a.Through.Median-a.Direct.Median, a.Through.Tail-a.Direct.Tail
		writeLine("%s\t%d\t%v\t%v\t%v\t%v\t%v\t%v\t%s", kind, a.Callers, a.Direct.Median, a.Direct.Tail,
			a.Through.Median, a.Through.Tail, addedMedian, addedTail, goalResult(addedMedian <= goalMedian && addedTail <= goalTail))
	}
	if r.MemoryPerStream != 0 {
		if r.TokensPerCore > 0 {
			writeLine("tokens relayed per second of processor time\t%.0f", r.TokensPerCore)
		} else {
			writeLine("tokens relayed per second of processor time\tnot measured: the difference of processor times is below the noise")
		}
		writeLine("memory per open stream\t%d bytes\t%s", r.MemoryPerStream, goalResult(r.MemoryPerStream <= goalStreamBytes))
		writeLine("allocations per plain request\t%.0f", r.AllocationsPerPlain)
		writeLine("allocations per streamed request\t%.0f", r.AllocationsPerStream)
		writeLine("bytes allocated per plain request\t%.0f", r.AllocatedBytesPerCall)
	}
	return errors.Wrap(w.Flush(), "write figures")
}

// tokenDelayFault returns the control request that sets the time between tokens
// of an engine stand-in.
func tokenDelayFault(d time.Duration) string {
	return fmt.Sprintf(`{"action":"slow","delay_ms":%d}`, d.Milliseconds())
}

func goalResult(met bool) string {
	if met {
		return "met"
	}
	return "missed"
}
