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

// never is longer than any process lives. go-zero's handler of SIGTERM ends
// the process after this time, 5.5 s by default, which would cut streams.
const never = 100 * 365 * 24 * time.Hour

// Quiet routes the logs of go-zero into a logger and switches off the rest. It
// changes global state of the library and may be called again.
func Quiet(log *slog.Logger) {
	proc.SetTimeToForceQuit(never)
	load.Disable()
	stat.DisableLog()
	stat.SetReporter(nil)
	logx.DisableStat()
	logx.SetLevel(logx.ErrorLevel)
	logx.SetWriter(writer{log})
}

// writer implements logx.Writer. Everything is logged at debug level: each
// failure that go-zero logs also reaches the caller of the library, which
// decides what it means.
type writer struct{ log *slog.Logger }

func (w writer) write(v any, fields []logx.LogField) {
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

func (w writer) Alert(v any)                          { w.write(v, nil) }
func (w writer) Close() error                         { return nil }
func (w writer) Debug(v any, fields ...logx.LogField) { w.write(v, fields) }
func (w writer) Error(v any, fields ...logx.LogField) { w.write(v, fields) }
func (w writer) Info(v any, fields ...logx.LogField)  { w.write(v, fields) }
func (w writer) Severe(v any)                         { w.write(v, nil) }
func (w writer) Slow(v any, fields ...logx.LogField)  { w.write(v, fields) }
func (w writer) Stack(v any)                          { w.write(v, nil) }
func (w writer) Stat(v any, fields ...logx.LogField)  { w.write(v, fields) }
