// Package logging writes structured log lines without blocking the caller.
package logging

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/event"
)

const (
	// maxQueuedLines bounds the lines that wait for a slow reader of the log. A
	// line has about 300 bytes.
	maxQueuedLines = 2048
	// maxLinesPerSecond bounds the lines per second with the same message.
	maxLinesPerSecond = 60
)

// Writer queues lines for a goroutine that writes them. It drops and counts lines
// while the queue is full.
type Writer struct {
	queue   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
}

// NewWriter returns a writer to output. Close flushes it.
func NewWriter(output io.Writer) *Writer {
	w := &Writer{queue: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go w.run(output)
	return w
}

// Write implements io.Writer. It never blocks and never fails.
func (w *Writer) Write(b []byte) (int, error) {
	line := append([]byte(nil), b...)
	select {
	case w.queue <- line:
	default:
		w.dropped.Add(1)
	}
	return len(b), nil
}

// Dropped returns the number of lines dropped since the last call.
func (w *Writer) Dropped() int64 { return w.dropped.Swap(0) }

// Close writes the queued lines. It returns after the timeout even if some are
// left.
func (w *Writer) Close(timeout time.Duration) {
	w.once.Do(func() { close(w.queue) })
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}

// run writes the queued lines. It combines lines into batches of about 16 KiB, so
// that a backlog needs few calls.
func (w *Writer) run(output io.Writer) {
	defer close(w.done)
	for line := range w.queue {
		batch := line
		for len(w.queue) > 0 && len(batch) < 16<<10 {
			batch = append(batch, <-w.queue...)
		}
		// A failure to write the log cannot be reported anywhere.
		_, _ = output.Write(batch)
	}
}

// Handler limits the lines per second of each message. It counts the lines that it
// drops and logs their number in a later second.
type Handler struct {
	slog.Handler
	limiter *limiter
}

// limiter counts the lines of each message in the current second.
type limiter struct {
	mu      sync.Mutex
	second  int64
	counts  map[string]int
	dropped int64
	writer  *Writer
}

// NewHandler returns a handler that writes JSON lines to a writer.
func NewHandler(w *Writer, level slog.Leveler) *Handler { //nolint:misspell // The name of a type of log/slog.
	return &Handler{
		Handler: slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level}),
		limiter: &limiter{counts: map[string]int{}, writer: w},
	}
}

// Handle implements slog.Handler.
func (h *Handler) Handle(ctx context.Context, r slog.Record) error {
	dropped, ok := h.limiter.admit(r.Time.Unix(), r.Message)
	if dropped > 0 {
		entry, _ := event.Find(event.LogLinesDropped)
		notice := slog.NewRecord(r.Time, slog.LevelWarn, entry.Message, 0)
		notice.AddAttrs(slog.Int("event", int(event.LogLinesDropped)), slog.Int64("lines", dropped))
		if err := h.Handler.Handle(ctx, notice); err != nil {
			return err
		}
	}
	if !ok {
		return nil
	}
	return h.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Handler{Handler: h.Handler.WithAttrs(attrs), limiter: h.limiter}
}

// WithGroup implements slog.Handler.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{Handler: h.Handler.WithGroup(name), limiter: h.limiter}
}

// admit counts a line and reports whether it is within the limit. For the first
// line of a second it also returns the number of lines dropped before, by the
// limit and by the writer.
func (l *limiter) admit(second int64, message string) (dropped int64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second != l.second {
		l.second = second
		clear(l.counts)
		dropped = l.dropped + l.writer.Dropped()
		l.dropped = 0
	}
	l.counts[message]++
	if l.counts[message] > maxLinesPerSecond {
		l.dropped++
		return dropped, false
	}
	return dropped, true
}
