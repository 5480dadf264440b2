package slopes

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
)

const (
	// streamTokenTime is the time between tokens at the design scale.
	streamTokenTime = 26 * time.Millisecond
	// shortTokenTime makes the answers of the sweep over requests as short as
	// possible.
	shortTokenTime = time.Millisecond
	// streamMargin is the time by which a stream outlasts warm-up and window.
	streamMargin = 500 * time.Millisecond
	// requestWorkers is the number of goroutines that send the requests of the
	// sweep over requests.
	requestWorkers = 32
)

// DataPathOptions selects what to measure of the data path. Zero values have no
// defaults; start from DefaultDataPathOptions.
type DataPathOptions struct {
	// Warmup is the real time before a measurement and Window its real duration.
	Warmup time.Duration
	Window time.Duration
	// Rates are in requests per second; Streams are numbers of open streams.
	Rates   []int
	Streams []int
	// Engines are numbers of engines; the daemon probes each engine.
	Engines []int
}

// DefaultDataPathOptions returns options that reach twice the load of one node at
// the design scale in streams, and more than that in requests.
func DefaultDataPathOptions() DataPathOptions {
	return DataPathOptions{
		Warmup: time.Second, Window: 3 * time.Second,
		Rates: []int{50, 100, 200, 300, 400}, Streams: []int{40, 80, 160, 240, 320},
		Engines: []int{10, 60, 120, 180, 240},
	}
}

// usage is the cost of one run for the whole process.
type usage struct {
	// cores is the processor time per second of real time.
	cores float64
	// heapBytes is the growth of the heap and the goroutine stacks.
	heapBytes float64
	// requestRate and tokenRate are answers and tokens per second.
	requestRate, tokenRate float64
}

// comparison compares a run through the entry daemon with the same run directly
// against the engine. The difference is the daemon's part. value is the varied
// value of the sweep.
type comparison struct {
	value          float64
	daemon, direct usage
}

// RunDataPath measures processor time and memory of an entry daemon over
// loopback for each request, token and open stream. Client, daemon and engine
// run in this process, so the cost of the daemon is the difference from a run
// that bypasses it.
func RunDataPath(ctx context.Context, w io.Writer, o DataPathOptions) error {
	requestPoints, err := dataPathSweep(ctx, o, o.Rates, shortTokenTime, (*loadGenerator).sendRequests)
	if err != nil {
		return errors.Wrap(err, "measure requests")
	}
	streamPoints, err := dataPathSweep(ctx, o, o.Streams, streamTokenTime, (*loadGenerator).openStreams)
	if err != nil {
		return errors.Wrap(err, "measure streams")
	}
	idlePoints, err := idleSweep(ctx, o)
	if err != nil {
		return errors.Wrap(err, "measure probes")
	}
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(tw, "data path of one entry daemon, %v of real time after %v for each point with the daemon and without\n", o.Window, o.Warmup)
	requestRate := func(p comparison) float64 { return p.daemon.requestRate }
	tokenRate := func(p comparison) float64 { return p.daemon.tokenRate }
	pointValue := func(p comparison) float64 { return p.value }
	writePoints(tw, "requests a second", requestPoints)
	writeFit(tw, "cpu for a request, ms", requestPoints, requestRate, addedCPU)
	writePoints(tw, "open streams", streamPoints)
	writeFit(tw, "cpu for a token, ms", streamPoints, tokenRate, addedCPU)
	writeFit(tw, "cpu for an open stream, ms/s", streamPoints, pointValue, addedCPU)
	writeFit(tw, "memory of an open stream, KiB", streamPoints, pointValue, addedMemory)
	writePoints(tw, "engines probed", idlePoints)
	writeFit(tw, "cpu for a probed engine, ms/s, stand-in included", idlePoints, pointValue, addedCPU)
	return errors.Wrap(tw.Flush(), "write data path")
}

// addedCPU returns the daemon's processor time in ms per second.
func addedCPU(p comparison) float64 { return 1000 * (p.daemon.cores - p.direct.cores) }

// addedMemory returns the daemon's memory in KiB.
func addedMemory(p comparison) float64 { return (p.daemon.heapBytes - p.direct.heapBytes) / 1024 }

func writePoints(t io.Writer, name string, points []comparison) {
	_, _ = fmt.Fprintf(t, "\n%s\trequests/s\ttokens/s\twith daemon, cores\twithout, cores\twith, MiB\twithout, MiB\t\n", name)
	for _, p := range points {
		_, _ = fmt.Fprintf(t, "%g\t%.1f\t%.0f\t%.4f\t%.4f\t%.1f\t%.1f\t\n", p.value, p.daemon.requestRate, p.daemon.tokenRate,
			p.daemon.cores, p.direct.cores, p.daemon.heapBytes/(1<<20), p.direct.heapBytes/(1<<20))
	}
}

func writeFit(t io.Writer, name string, points []comparison, x, y func(comparison) float64) {
	xs, ys := make([]float64, len(points)), make([]float64, len(points))
	for i, p := range points {
		xs[i], ys[i] = x(p), y(p)
	}
	f := fitLine(xs, ys)
	_, _ = fmt.Fprintf(t, "fit\t%s\tat 0\t%.4g\tslope\t%.4g\terror\t%.2g\tR2\t%.3f\t\n", name, f.intercept, f.slope, f.slopeError, f.r2)
}

// dataPathSweep measures each value of a load directly and through the daemon.
func dataPathSweep(ctx context.Context, o DataPathOptions, values []int, tokenTime time.Duration, send func(*loadGenerator, int)) ([]comparison, error) {
	var points []comparison
	for _, v := range values {
		p := comparison{value: float64(v)}
		for _, run := range []struct {
			throughDaemon bool
			usage         *usage
		}{{false, &p.direct}, {true, &p.daemon}} {
			var err error
			if *run.usage, err = measureLoad(ctx, o, tokenTime, run.throughDaemon, func(l *loadGenerator) { send(l, v) }); err != nil {
				return nil, err
			}
		}
		points = append(points, p)
	}
	return points, nil
}

// idleSweep measures a daemon that only probes engines. The engines answer in
// this process, so a probe costs a daemon less than the measured value.
func idleSweep(ctx context.Context, o DataPathOptions) ([]comparison, error) {
	var points []comparison
	for _, engines := range o.Engines {
		r, err := newRig(ctx, shortTokenTime, engines)
		if err != nil {
			return nil, err
		}
		u, err := (&loadGenerator{ctx: ctx, rig: r}).measure(o)
		r.close()
		if err != nil {
			return nil, err
		}
		points = append(points, comparison{value: float64(engines), daemon: u})
	}
	return points, nil
}

// loadGenerator sends requests until its context ends.
type loadGenerator struct {
	ctx      context.Context
	rig      *rig
	options  DataPathOptions
	url      string
	requests atomic.Int64
	tokens   atomic.Int64
	failures atomic.Int64
	workers  sync.WaitGroup
}

// measureLoad measures a load. The daemon also runs when the load bypasses it, so
// that its control work cancels out in the difference.
func measureLoad(ctx context.Context, o DataPathOptions, tokenTime time.Duration, throughDaemon bool, send func(*loadGenerator)) (usage, error) {
	r, err := newRig(ctx, tokenTime, 1)
	if err != nil {
		return usage{}, err
	}
	defer r.close()
	loadCtx, cancel := context.WithCancel(ctx)
	l := &loadGenerator{ctx: loadCtx, rig: r, options: o, url: r.engineURL}
	if throughDaemon {
		l.url = r.daemonURL
	}
	defer l.workers.Wait()
	defer cancel()
	heapBefore := heapAndStackBytes()
	send(l)
	u, err := l.measure(o)
	u.heapBytes -= heapBefore
	return u, err
}

// heapAndStackBytes returns the size of heap objects and stacks after a garbage
// collection.
func heapAndStackBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// measure returns the usage of the process during the window. Its heapBytes is a
// total and not a growth.
func (l *loadGenerator) measure(o DataPathOptions) (usage, error) {
	time.Sleep(o.Warmup)
	requests, tokens, cpu, start := l.requests.Load(), l.tokens.Load(), processorTime(), time.Now()
	time.Sleep(o.Window)
	elapsed := time.Since(start).Seconds()
	u := usage{
		cores:       (processorTime() - cpu).Seconds() / elapsed,
		requestRate: float64(l.requests.Load()-requests) / elapsed,
		tokenRate:   float64(l.tokens.Load()-tokens) / elapsed,
	}
	u.heapBytes = heapAndStackBytes()
	if n := l.failures.Load(); n > 0 {
		return u, errors.Errorf("%d requests failed", n)
	}
	return u, nil
}

// sendRequests sends short requests at a rate per second.
func (l *loadGenerator) sendRequests(rate int) {
	period := time.Second * requestWorkers / time.Duration(rate)
	for i := range requestWorkers {
		l.workers.Go(func() {
			time.Sleep(period * time.Duration(i) / requestWorkers)
			ticker := time.NewTicker(period)
			defer ticker.Stop()
			for l.ctx.Err() == nil {
				l.send(`{"model":"m","max_tokens":1,"messages":[{"role":"user","content":"a header for crisps"}]}`)
				select {
				case <-ticker.C:
				case <-l.ctx.Done():
				}
			}
		})
	}
}

// openStreams keeps a number of streams open. Their length is limited so that
// they end soon after the run, because an engine continues a generation whose
// client has disconnected.
func (l *loadGenerator) openStreams(count int) {
	tokens := (l.options.Warmup + l.options.Window + streamMargin) / streamTokenTime
	body := fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"a header for crisps"}]}`, tokens)
	for range count {
		l.workers.Go(func() {
			l.send(body)
		})
	}
}

// send sends a request and counts its answer or its failure. A request that the
// end of the run interrupts counts as neither.
func (l *loadGenerator) send(body string) {
	req, err := http.NewRequestWithContext(l.ctx, http.MethodPost, l.url+"/v1/chat/completions", bytes.NewReader([]byte(body)))
	if err != nil {
		l.failures.Add(1)
		return
	}
	req.Header.Set("Authorization", "Bearer "+rigKey)
	req.Header.Set("Content-Type", "application/json")
	res, err := l.rig.client.Do(req)
	if err == nil {
		defer func() { _ = res.Body.Close() }()
		err = l.readAnswer(res)
	}
	switch {
	case l.ctx.Err() != nil:
	case err != nil || res.StatusCode != http.StatusOK:
		l.failures.Add(1)
	default:
		l.requests.Add(1)
	}
}

// readAnswer reads an answer to its end and counts the events of a stream as
// tokens.
func (l *loadGenerator) readAnswer(res *http.Response) error {
	reader := bufio.NewReader(res.Body)
	for {
		line, err := reader.ReadSlice('\n')
		if bytes.HasPrefix(line, []byte("data:")) {
			l.tokens.Add(1)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return errors.Wrap(err, "read answer")
		}
	}
}
