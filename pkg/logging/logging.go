// Package logging writes structured log lines without ever blocking the caller.
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
	// queueLines is the number of lines that may wait for a slow reader. A line is
	// about 300 bytes.
	queueLines = 2048
	// linesPerSecond bounds the lines of one event or message in a second.
	linesPerSecond = 60
)

// Writer hands lines to a goroutine that writes them. A line that finds the
// queue full is left out and counted.
type Writer struct {
	lines chan []byte
	left  atomic.Int64
	done  chan struct{}
	once  sync.Once
}

// NewWriter returns a writer to w. Close flushes it.
func NewWriter(w io.Writer) *Writer {
	l := &Writer{lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go l.run(w)
	return l
}

// Write implements io.Writer. It never blocks and never fails.
func (l *Writer) Write(b []byte) (int, error) {
	line := append([]byte(nil), b...)
	select {
	case l.lines <- line:
	default:
		l.left.Add(1)
	}
	return len(b), nil
}

// LeftOut returns the number of lines left out since the last call.
func (l *Writer) LeftOut() int64 { return l.left.Swap(0) }

// Close writes what waits, at most for the given time.
func (l *Writer) Close(within time.Duration) {
	l.once.Do(func() { close(l.lines) })
	select {
	case <-l.done:
	case <-time.After(within):
	}
}

// run writes lines, those that wait together in one call.
func (l *Writer) run(w io.Writer) {
	defer close(l.done)
	for line := range l.lines {
		batch := line
		for len(l.lines) > 0 && len(batch) < 16<<10 {
			batch = append(batch, <-l.lines...)
		}
		// There is nowhere to report that the log cannot be written.
		_, _ = w.Write(batch)
	}
}

// Handler bounds the lines of each event and message in a second. What it
// leaves out is counted, and the count logged in the next second.
type Handler struct {
	slog.Handler
	shared *counts
}

type counts struct {
	mu     sync.Mutex
	second int64
	lines  map[string]int
	left   int64
	writer *Writer
}

// NewHandler returns a handler of JSON lines to a writer.
func NewHandler(w *Writer, level slog.Leveler) *Handler { //nolint:misspell // The name of a type of log/slog.
	return &Handler{
		Handler: slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level}),
		shared:  &counts{lines: map[string]int{}, writer: w},
	}
}

// Handle implements slog.Handler.
func (h *Handler) Handle(ctx context.Context, r slog.Record) error {
	report, ok := h.shared.admit(r.Time.Unix(), r.Message)
	if report > 0 {
		entry, _ := event.Find(event.LogLinesDropped)
		notice := slog.NewRecord(r.Time, slog.LevelWarn, entry.Message, 0)
		notice.AddAttrs(slog.Int("event", int(event.LogLinesDropped)), slog.Int64("lines", report))
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
	return &Handler{Handler: h.Handler.WithAttrs(attrs), shared: h.shared}
}

// WithGroup implements slog.Handler.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{Handler: h.Handler.WithGroup(name), shared: h.shared}
}

// admit counts a line. The first line of a second also gets the number of lines
// left out before it.
func (c *counts) admit(second int64, message string) (report int64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if second != c.second {
		c.second = second
		clear(c.lines)
		report = c.left + c.writer.LeftOut()
		c.left = 0
	}
	c.lines[message]++
	if c.lines[message] > linesPerSecond {
		c.left++
		return report, false
	}
	return report, true
}
