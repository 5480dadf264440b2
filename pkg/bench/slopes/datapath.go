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
	// streamToken is the time between tokens of the design scale.
	streamToken = 26 * time.Millisecond
	// shortToken makes the answers of the slope over requests as short as
	// possible.
	shortToken = time.Millisecond
	// streamMargin is by how much a stream is longer than a run.
	streamMargin = 500 * time.Millisecond
	// requestWorkers send the requests of the slope over requests.
	requestWorkers = 32
)

// DataOptions says what to measure of the data path. Use DefaultDataOptions.
type DataOptions struct {
	// Warmup and Window are the real time before and during a measurement.
	Warmup time.Duration
	Window time.Duration
	// Rates are in requests a second; Streams are numbers of open streams.
	Rates   []int
	Streams []int
	// Engines are numbers of engines, each of which is probed.
	Engines []int
}

// DefaultDataOptions reaches twice the load of one node at the design scale in
// streams, and more in requests.
func DefaultDataOptions() DataOptions {
	return DataOptions{
		Warmup: time.Second, Window: 3 * time.Second,
		Rates: []int{50, 100, 200, 300, 400}, Streams: []int{40, 80, 160, 240, 320},
		Engines: []int{10, 60, 120, 180, 240},
	}
}

// use is what one run cost the whole process.
type use struct {
	// cpu is in cores.
	cpu float64
	// heap is the growth in bytes, with the stacks of goroutines.
	heap float64
	// done counts answers and tokens in a second.
	requests, tokens float64
}

// dataPoint compares a run through the entry daemon with the same run against
// the engine itself. The difference is the daemon's part.
type dataPoint struct {
	x               float64
	gateway, direct use
}

// RunDataPath measures processor time and memory of an entry daemon over
// loopback for each request, token and open stream. Client, daemon and engine
// run in this process, so that the cost of the daemon is the difference to a
// run without it.
func RunDataPath(ctx context.Context, w io.Writer, o DataOptions) error {
	requests, err := dataSlope(ctx, o, o.Rates, shortToken, (*traffic).request)
	if err != nil {
		return errors.Wrap(err, "measure requests")
	}
	streams, err := dataSlope(ctx, o, o.Streams, streamToken, (*traffic).stream)
	if err != nil {
		return errors.Wrap(err, "measure streams")
	}
	idle, err := idleSlope(ctx, o)
	if err != nil {
		return errors.Wrap(err, "measure probes")
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(t, "data path of one entry daemon, %v of real time after %v for each point with the daemon and without\n", o.Window, o.Warmup)
	rate := func(p dataPoint) float64 { return p.gateway.requests }
	tokens := func(p dataPoint) float64 { return p.gateway.tokens }
	count := func(p dataPoint) float64 { return p.x }
	writeData(t, "requests a second", requests)
	writeFit(t, "cpu for a request, ms", requests, rate, cpuPart)
	writeData(t, "open streams", streams)
	writeFit(t, "cpu for a token, ms", streams, tokens, cpuPart)
	writeFit(t, "cpu for an open stream, ms/s", streams, count, cpuPart)
	writeFit(t, "memory of an open stream, KiB", streams, count, memoryPart)
	writeData(t, "engines probed", idle)
	writeFit(t, "cpu for a probed engine, ms/s, stand-in included", idle, count, cpuPart)
	return errors.Wrap(t.Flush(), "write data path")
}

// cpuPart is in ms a second.
func cpuPart(p dataPoint) float64 { return 1000 * (p.gateway.cpu - p.direct.cpu) }

// memoryPart is in KiB.
func memoryPart(p dataPoint) float64 { return (p.gateway.heap - p.direct.heap) / 1024 }

func writeData(t io.Writer, name string, points []dataPoint) {
	_, _ = fmt.Fprintf(t, "\n%s\trequests/s\ttokens/s\twith daemon, cores\twithout, cores\twith, MiB\twithout, MiB\t\n", name)
	for _, p := range points {
		_, _ = fmt.Fprintf(t, "%g\t%.1f\t%.0f\t%.4f\t%.4f\t%.1f\t%.1f\t\n", p.x, p.gateway.requests, p.gateway.tokens,
			p.gateway.cpu, p.direct.cpu, p.gateway.heap/(1<<20), p.direct.heap/(1<<20))
	}
}

func writeFit(t io.Writer, name string, points []dataPoint, x, y func(dataPoint) float64) {
	xs, ys := make([]float64, len(points)), make([]float64, len(points))
	for i, p := range points {
		xs[i], ys[i] = x(p), y(p)
	}
	f := fitLine(xs, ys)
	_, _ = fmt.Fprintf(t, "fit\t%s\tat 0\t%.4g\tslope\t%.4g\terror\t%.2g\tR2\t%.3f\t\n", name, f.intercept, f.slope, f.err, f.r2)
}

func dataSlope(ctx context.Context, o DataOptions, values []int, token time.Duration, send func(*traffic, int)) ([]dataPoint, error) {
	var points []dataPoint
	for _, v := range values {
		p := dataPoint{x: float64(v)}
		for _, run := range []struct {
			daemon bool
			use    *use
		}{{false, &p.direct}, {true, &p.gateway}} {
			var err error
			if *run.use, err = measureData(ctx, o, token, run.daemon, func(l *traffic) { send(l, v) }); err != nil {
				return nil, err
			}
		}
		points = append(points, p)
	}
	return points, nil
}

// idleSlope measures a daemon that only watches engines. The engines answer in
// this process, so that a probe costs a daemon less than what is measured.
func idleSlope(ctx context.Context, o DataOptions) ([]dataPoint, error) {
	var points []dataPoint
	for _, engines := range o.Engines {
		r, err := newRig(ctx, shortToken, engines)
		if err != nil {
			return nil, err
		}
		u, err := (&traffic{ctx: ctx, rig: r}).measure(o)
		r.close()
		if err != nil {
			return nil, err
		}
		points = append(points, dataPoint{x: float64(engines), gateway: u})
	}
	return points, nil
}

// traffic sends requests until it ends.
type traffic struct {
	ctx      context.Context
	rig      *rig
	options  DataOptions
	url      string
	requests atomic.Int64
	tokens   atomic.Int64
	failed   atomic.Int64
	running  sync.WaitGroup
}

// measureData runs a load. The daemon runs beside it in each case, so that its
// control work does not count.
func measureData(ctx context.Context, o DataOptions, token time.Duration, daemon bool, send func(*traffic)) (use, error) {
	r, err := newRig(ctx, token, 1)
	if err != nil {
		return use{}, err
	}
	defer r.close()
	loading, cancel := context.WithCancel(ctx)
	l := &traffic{ctx: loading, rig: r, options: o, url: r.direct}
	if daemon {
		l.url = r.gateway
	}
	defer l.running.Wait()
	defer cancel()
	before := heapAndStacks()
	send(l)
	u, err := l.measure(o)
	u.heap -= before
	return u, err
}

func heapAndStacks() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// measure returns what the process does in the window.
func (l *traffic) measure(o DataOptions) (use, error) {
	time.Sleep(o.Warmup)
	requests, tokens, cpu, start := l.requests.Load(), l.tokens.Load(), processCPU(), time.Now()
	time.Sleep(o.Window)
	took := time.Since(start).Seconds()
	u := use{
		cpu:      (processCPU() - cpu).Seconds() / took,
		requests: float64(l.requests.Load()-requests) / took,
		tokens:   float64(l.tokens.Load()-tokens) / took,
	}
	u.heap = heapAndStacks()
	if n := l.failed.Load(); n > 0 {
		return u, errors.Errorf("%d requests failed", n)
	}
	return u, nil
}

// request sends short requests at a rate.
func (l *traffic) request(rate int) {
	period := time.Second * requestWorkers / time.Duration(rate)
	for i := range requestWorkers {
		l.running.Go(func() {
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

// stream keeps a number of streams open. They end soon after the run, because
// an engine goes on with a generation that has lost its reader.
func (l *traffic) stream(count int) {
	tokens := (l.options.Warmup + l.options.Window + streamMargin) / streamToken
	body := fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"a header for crisps"}]}`, tokens)
	for range count {
		l.running.Go(func() {
			l.send(body)
		})
	}
}

func (l *traffic) send(body string) {
	req, err := http.NewRequestWithContext(l.ctx, http.MethodPost, l.url+"/v1/chat/completions", bytes.NewReader([]byte(body)))
	if err != nil {
		l.failed.Add(1)
		return
	}
	req.Header.Set("Authorization", "Bearer "+rigKey)
	req.Header.Set("Content-Type", "application/json")
	res, err := l.rig.client.Do(req)
	if err == nil {
		defer func() { _ = res.Body.Close() }()
		err = l.read(res)
	}
	switch {
	case l.ctx.Err() != nil:
	case err != nil || res.StatusCode != http.StatusOK:
		l.failed.Add(1)
	default:
		l.requests.Add(1)
	}
}

// read reads an answer and counts the events of a stream as tokens.
func (l *traffic) read(res *http.Response) error {
	lines := bufio.NewReader(res.Body)
	for {
		line, err := lines.ReadSlice('\n')
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
