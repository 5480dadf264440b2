// Package gozero switches off what go-zero does by itself: its logs go to
// slog, its statistics and load shedding are off, and its signal handler does
// not end the process.
package gozero

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/zeromicro/go-zero/core/load"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/proc"
	"github.com/zeromicro/go-zero/core/stat"
)

// forceQuitTimeout is longer than any process lives. go-zero's handler of SIGTERM ends
// the process after this time, 5.5 s by default, which would cut streams.
const forceQuitTimeout = 100 * 365 * 24 * time.Hour

// Quiet routes the logs of go-zero into a logger and switches off the rest. It
// changes global state of the library and may be called again.
func Quiet(log *slog.Logger) {
	proc.SetTimeToForceQuit(forceQuitTimeout)
	load.Disable()
	stat.DisableLog()
	stat.SetReporter(nil)
	logx.DisableStat()
	logx.SetLevel(logx.ErrorLevel)
	logx.SetWriter(logWriter{log})
}

// logWriter implements logx.Writer. Everything is logged at debug level: each
// failure that go-zero logs also reaches the caller of the library, which
// decides what it means.
type logWriter struct{ log *slog.Logger }

func (w logWriter) write(v any, fields []logx.LogField) {
	ctx := context.Background()
	if !w.log.Enabled(ctx, slog.LevelDebug) {
		return
	}
	attrs := make([]slog.Attr, 0, len(fields))
	for _, f := range fields {
		attrs = append(attrs, slog.Any(f.Key, f.Value))
	}
	w.log.LogAttrs(ctx, slog.LevelDebug, fmt.Sprint(v), attrs...)
}

func (w logWriter) Alert(v any)                          { w.write(v, nil) }
func (w logWriter) Close() error                         { return nil }
func (w logWriter) Debug(v any, fields ...logx.LogField) { w.write(v, fields) }
func (w logWriter) Error(v any, fields ...logx.LogField) { w.write(v, fields) }
func (w logWriter) Info(v any, fields ...logx.LogField)  { w.write(v, fields) }
func (w logWriter) Severe(v any)                         { w.write(v, nil) }
func (w logWriter) Slow(v any, fields ...logx.LogField)  { w.write(v, fields) }
func (w logWriter) Stack(v any)                          { w.write(v, nil) }
func (w logWriter) Stat(v any, fields ...logx.LogField)  { w.write(v, fields) }
