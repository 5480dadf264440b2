package latency

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
)

const (
	plainBody  = `{"model":"draft","max_tokens":16,"messages":[{"role":"user","content":"Header copy for a gondola end."}]}`
	streamBody = `{"model":"draft","max_tokens":16,"stream":true,"messages":[{"role":"user","content":"Header copy for a gondola end."}]}`
	longBody   = `{"model":"draft","stream":true,"messages":[]}`
	// warmUp requests per caller are not counted.
	warmUp = 20
	// relayStreams is the number of streams that measure the relay at once.
	relayStreams = 16
	// heldBody is a stream that is held open. It ends by itself, so that its
	// generation does not grow into later measurements.
	heldBody  = `{"model":"draft","max_tokens":120,"stream":true,"messages":[]}`
	heldDelay = `{"action":"slow","delay_ms":500}`
	// allocationCalls is the number of calls that allocations are averaged over.
	allocationCalls = 500
	maxMicroseconds = 60_000_000
	digits          = 3
)

type caller struct {
	client *http.Client
	key    string
}

func (c *caller) open(ctx context.Context, base, body string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set("Content-Type", "application/json")
	res, err := c.client.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "send request")
	}
	if res.StatusCode != http.StatusOK {
		b, _ := io.ReadAll(res.Body)
		_ = res.Body.Close()
		return nil, errors.Errorf("answered %d: %s", res.StatusCode, b)
	}
	return res, nil
}

// call returns the time up to the end of a plain answer, or up to the first
// event of a stream.
func (c *caller) call(ctx context.Context, base, body string) (time.Duration, error) {
	began := time.Now()
	res, err := c.open(ctx, base, body)
	if err != nil {
		return 0, err
	}
	defer func() { _ = res.Body.Close() }()
	took := time.Duration(0)
	if body != plainBody {
		if _, err := io.ReadFull(res.Body, make([]byte, 1)); err != nil {
			return 0, errors.Wrap(err, "read first event")
		}
		took = time.Since(began)
	}
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, errors.Wrap(err, "read answer")
	}
	if took == 0 {
		return time.Since(began), nil
	}
	if !bytes.HasSuffix(b, []byte("data: [DONE]\n\n")) {
		return 0, errors.New("stream without its end marker")
	}
	return took, nil
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxMicroseconds, digits) }

func times(h *hdrhistogram.Histogram) Times {
	at := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond }
	return Times{Median: at(50), Tail: at(99)}
}

// measureTimes lets each caller send direct requests and requests through the
// node in turn, so that both see the same load of the machine.
func measureTimes(ctx context.Context, c *caller, engine, entry string, callers, requests int, stream bool) (Added, error) {
	body := plainBody
	if stream {
		body = streamBody
	}
	direct, through := newHistogram(), newHistogram()
	var mu sync.Mutex
	var failed error
	var wait sync.WaitGroup
	for range callers {
		wait.Go(func() {
			d, t := newHistogram(), newHistogram()
			err := alternate(ctx, c, engine, entry, body, requests/callers, d, t)
			mu.Lock()
			defer mu.Unlock()
			direct.Merge(d)
			through.Merge(t)
			if err != nil {
				failed = err
			}
		})
	}
	wait.Wait()
	return Added{Stream: stream, Callers: callers, Direct: times(direct), Through: times(through)}, failed
}

func alternate(ctx context.Context, c *caller, engine, entry, body string, n int, direct, through *hdrhistogram.Histogram) error {
	for i := range n + warmUp {
		for base, h := range map[string]*hdrhistogram.Histogram{engine: direct, entry: through} {
			took, err := c.call(ctx, base, body)
			if err != nil {
				return err
			}
			if i >= warmUp {
				_ = h.RecordValue(took.Microseconds())
			}
		}
	}
	return nil
}

// measureResources fills in what is measured by the difference between calls
// through the node and direct calls, since all ends are in this process.
func (r *rig) measureResources(ctx context.Context, opts Options, c *caller, report *Report) error {
	var err error
	if report.AllocationsPerPlain, report.AllocatedBytesPerCall, err = r.allocations(ctx, c, plainBody); err != nil {
		return err
	}
	if report.AllocationsPerStream, _, err = r.allocations(ctx, c, streamBody); err != nil {
		return err
	}
	return r.relay(ctx, opts, c, report)
}

func (r *rig) allocations(ctx context.Context, c *caller, body string) (count, size float64, err error) {
	measure := func(base string) (n, b float64, err error) {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for range allocationCalls {
			if _, err := c.call(ctx, base, body); err != nil {
				return 0, 0, err
			}
		}
		runtime.ReadMemStats(&after)
		return float64(after.Mallocs-before.Mallocs) / allocationCalls,
			float64(after.TotalAlloc-before.TotalAlloc) / allocationCalls, nil
	}
	directN, directB, err := measure(r.engineURL)
	if err != nil {
		return 0, 0, err
	}
	n, b, err := measure(r.nodeURL)
	return n - directN, b - directB, err
}

// processorTime is the time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// relay measures the processor time per token of long streams.
func (r *rig) relay(ctx context.Context, opts Options, c *caller, report *Report) error {
	run := func(base string) (time.Duration, error) {
		began := processorTime()
		var wait sync.WaitGroup
		failures := make(chan error, relayStreams)
		for range relayStreams {
			wait.Go(func() {
				if err := c.drain(ctx, base, opts.Tokens); err != nil {
					failures <- err
				}
			})
		}
		wait.Wait()
		select {
		case err := <-failures:
			return 0, err
		default:
			return processorTime() - began, nil
		}
	}
	direct, err := run(r.engineURL)
	if err != nil {
		return err
	}
	through, err := run(r.nodeURL)
	if err != nil {
		return err
	}
	report.TokensPerCore = float64(relayStreams*opts.Tokens) / (through - direct).Seconds()
	return nil
}

// drain reads a long stream and checks its number of tokens.
func (c *caller) drain(ctx context.Context, base string, tokens int) error {
	res, err := c.open(ctx, base, longBody)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	lines := bufio.NewReader(res.Body)
	n := 0
	for {
		line, err := lines.ReadSlice('\n')
		if err != nil {
			return errors.Wrap(err, "read stream")
		}
		if bytes.Equal(line, []byte("data: [DONE]\n")) {
			break
		}
		if bytes.HasPrefix(line, []byte("data: ")) {
			n++
		}
	}
	// The last event has the reason of the end and no token.
	if n != tokens+1 {
		return fmt.Errorf("stream of %d events in place of %d", n, tokens+1)
	}
	return nil
}

// memory measures the memory of streams that are open at once.
func (r *rig) memory(ctx context.Context, opts Options, c *caller, report *Report) error {
	if err := r.fault(heldDelay); err != nil {
		return err
	}
	defer func() { _ = r.fault(`{"action":"clear"}`) }()
	direct, err := r.held(ctx, c, r.engineURL, opts.Streams)
	if err != nil {
		return err
	}
	through, err := r.held(ctx, c, r.nodeURL, opts.Streams)
	report.MemoryPerStream = (through - direct) / int64(opts.Streams)
	return err
}

// held returns by how much memory grows with open streams.
func (r *rig) held(ctx context.Context, c *caller, base string, streams int) (int64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.client.CloseIdleConnections()
	before := inUse()
	var wait sync.WaitGroup
	answers := make([]*http.Response, streams)
	failures := make(chan error, streams)
	for i := range streams {
		wait.Go(func() {
			res, err := c.open(ctx, base, heldBody)
			if err != nil {
				failures <- err
				return
			}
			answers[i] = res
			if _, err := io.ReadFull(res.Body, make([]byte, 1)); err != nil {
				failures <- errors.Wrap(err, "read first event")
			}
		})
	}
	wait.Wait()
	grown := inUse() - before
	for _, res := range answers {
		if res != nil {
			_ = res.Body.Close()
		}
	}
	select {
	case err := <-failures:
		return 0, err
	default:
		return grown, nil
	}
}

// inUse returns the memory of heap and stacks after a collection.
func inUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}
