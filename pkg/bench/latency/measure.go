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
	// warmUpCalls is the number of first calls of each caller that are not
	// recorded.
	warmUpCalls = 20
	// relayStreams is the number of concurrent streams for the measurement of
	// processor time per token.
	relayStreams = 16
	// openStreamBody requests a stream that stays open during the measurement of
	// memory. Its length is limited so that its generation does not continue
	// during later measurements.
	openStreamBody = `{"model":"draft","max_tokens":120,"stream":true,"messages":[]}`
	// openStreamFault slows the engine so that the streams stay open.
	openStreamFault = `{"action":"slow","delay_ms":500}`
	// allocationCalls is the number of calls over which allocations are averaged.
	allocationCalls = 500
	// maxMicroseconds is the largest time that a histogram records.
	maxMicroseconds = 60_000_000
	// sigDigits is the number of significant decimal digits of a histogram.
	sigDigits = 3
)

// caller sends requests with the key of a client account.
type caller struct {
	client *http.Client
	key    string
}

// send sends a request and returns the response, whose body the caller of send
// closes. A status other than 200 is an error.
func (c *caller) send(ctx context.Context, base, body string) (*http.Response, error) {
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
		return nil, errors.Errorf("request failed with status %d: %s", res.StatusCode, b)
	}
	return res, nil
}

// call sends a request, reads the whole answer and returns the time up to the
// end of a plain answer or the first event of a stream.
func (c *caller) call(ctx context.Context, base, body string) (time.Duration, error) {
	start := time.Now()
	res, err := c.send(ctx, base, body)
	if err != nil {
		return 0, err
	}
	defer func() { _ = res.Body.Close() }()
	elapsed := time.Duration(0)
	if body != plainBody {
		if _, err := io.ReadFull(res.Body, make([]byte, 1)); err != nil {
			return 0, errors.Wrap(err, "read first event")
		}
		elapsed = time.Since(start)
	}
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, errors.Wrap(err, "read answer")
	}
	if elapsed == 0 {
		return time.Since(start), nil
	}
	if !bytes.HasSuffix(b, []byte("data: [DONE]\n\n")) {
		return 0, errors.New("stream ended without the [DONE] event")
	}
	return elapsed, nil
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxMicroseconds, sigDigits) }

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	quantile := func(p float64) time.Duration { return time.Duration(h.ValueAtQuantile(p)) * time.Microsecond }
	return Percentiles{Median: quantile(50), Tail: quantile(99)}
}

// measureTimes measures the times of direct calls and of calls through the node.
// Each caller alternates between both so that both see the same load of the
// machine.
func measureTimes(ctx context.Context, c *caller, engineURL, nodeURL string, callers, requests int, stream bool) (AddedLatency, error) {
	body := plainBody
	if stream {
		body = streamBody
	}
	direct, through := newHistogram(), newHistogram()
	var mu sync.Mutex
	var lastErr error
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			callerDirect, callerThrough := newHistogram(), newHistogram()
			err := alternateCalls(ctx, c, engineURL, nodeURL, body, requests/callers, callerDirect, callerThrough)
			mu.Lock()
			defer mu.Unlock()
			direct.Merge(callerDirect)
			through.Merge(callerThrough)
			if err != nil {
				lastErr = err
			}
		})
	}
	wg.Wait()
	return AddedLatency{Stream: stream, Callers: callers, Direct: percentiles(direct), Through: percentiles(through)}, lastErr
}

// alternateCalls sends count recorded calls to the engine and to the node in
// turn, after the warm-up calls.
func alternateCalls(ctx context.Context, c *caller, engineURL, nodeURL, body string, count int, direct, through *hdrhistogram.Histogram) error {
	for i := range count + warmUpCalls {
		for base, h := range map[string]*hdrhistogram.Histogram{engineURL: direct, nodeURL: through} {
			elapsed, err := c.call(ctx, base, body)
			if err != nil {
				return err
			}
			if i >= warmUpCalls {
				_ = h.RecordValue(elapsed.Microseconds())
			}
		}
	}
	return nil
}

// measureResources adds allocations and processor time to the report. Client,
// node and engine run in this process, so the node's part is the difference
// between calls through the node and direct calls.
func (r *rig) measureResources(ctx context.Context, opts Options, c *caller, report *Report) error {
	var err error
	if report.AllocationsPerPlain, report.AllocatedBytesPerCall, err = r.addedAllocations(ctx, c, plainBody); err != nil {
		return err
	}
	if report.AllocationsPerStream, _, err = r.addedAllocations(ctx, c, streamBody); err != nil {
		return err
	}
	return r.measureRelay(ctx, opts, c, report)
}

// addedAllocations returns the number and the bytes of allocations that the node
// adds to a call.
func (r *rig) addedAllocations(ctx context.Context, c *caller, body string) (count, size float64, err error) {
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
	directCount, directSize, err := measure(r.engineURL)
	if err != nil {
		return 0, 0, err
	}
	throughCount, throughSize, err := measure(r.nodeURL)
	return throughCount - directCount, throughSize - directSize, err
}

// processorTime returns the processor time that this process has used, in user
// and kernel mode.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// measureRelay measures how many tokens of long streams the node relays per
// second of processor time.
func (r *rig) measureRelay(ctx context.Context, opts Options, c *caller, report *Report) error {
	readStreams := func(base string) (time.Duration, error) {
		start := processorTime()
		var wg sync.WaitGroup
		failures := make(chan error, relayStreams)
		for range relayStreams {
			wg.Go(func() {
				if err := c.readLongStream(ctx, base, opts.Tokens); err != nil {
					failures <- err
				}
			})
		}
		wg.Wait()
		select {
		case err := <-failures:
			return 0, err
		default:
			return processorTime() - start, nil
		}
	}
	direct, err := readStreams(r.engineURL)
	if err != nil {
		return err
	}
	through, err := readStreams(r.nodeURL)
	if err != nil {
		return err
	}
	report.TokensPerCore = float64(relayStreams*opts.Tokens) / (through - direct).Seconds()
	return nil
}

// readLongStream reads a long stream and checks its number of tokens.
func (c *caller) readLongStream(ctx context.Context, base string, tokens int) error {
	res, err := c.send(ctx, base, longBody)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	reader := bufio.NewReader(res.Body)
	events := 0
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return errors.Wrap(err, "read stream")
		}
		if bytes.Equal(line, []byte("data: [DONE]\n")) {
			break
		}
		if bytes.HasPrefix(line, []byte("data: ")) {
			events++
		}
	}
	// The last event contains the finish reason and no token.
	if events != tokens+1 {
		return fmt.Errorf("stream has %d events instead of %d", events, tokens+1)
	}
	return nil
}

// measureStreamMemory measures the memory that the node uses per open stream.
func (r *rig) measureStreamMemory(ctx context.Context, opts Options, c *caller, report *Report) error {
	if err := r.injectFault(openStreamFault); err != nil {
		return err
	}
	defer func() { _ = r.injectFault(`{"action":"clear"}`) }()
	direct, err := r.memoryGrowth(ctx, c, r.engineURL, opts.Streams)
	if err != nil {
		return err
	}
	through, err := r.memoryGrowth(ctx, c, r.nodeURL, opts.Streams)
	report.MemoryPerStream = (through - direct) / int64(opts.Streams)
	return err
}

// memoryGrowth opens a number of streams and returns the bytes by which heap and
// stacks of this process grow.
func (r *rig) memoryGrowth(ctx context.Context, c *caller, base string, streams int) (int64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.client.CloseIdleConnections()
	before := heapAndStackBytes()
	var wg sync.WaitGroup
	responses := make([]*http.Response, streams)
	failures := make(chan error, streams)
	for i := range streams {
		wg.Go(func() {
			res, err := c.send(ctx, base, openStreamBody)
			if err != nil {
				failures <- err
				return
			}
			responses[i] = res
			if _, err := io.ReadFull(res.Body, make([]byte, 1)); err != nil {
				failures <- errors.Wrap(err, "read first event")
			}
		})
	}
	wg.Wait()
	growth := heapAndStackBytes() - before
	for _, res := range responses {
		if res != nil {
			_ = res.Body.Close()
		}
	}
	select {
	case err := <-failures:
		return 0, err
	default:
		return growth, nil
	}
}

// heapAndStackBytes returns the size of heap and stacks in use after a garbage
// collection.
func heapAndStackBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}
