// Package gozero disables the default behaviour of go-zero that conflicts with the
// entry daemon: it redirects the logs to slog, disables statistics and load
// shedding, and keeps the signal handler from ending the process.
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

// forceQuitTimeout is longer than the lifetime of any process. go-zero's SIGTERM
// handler ends the process after this time; the default of 5.5 s would break open
// streams.
const forceQuitTimeout = 100 * 365 * 24 * time.Hour

// Quiet redirects the logs of go-zero to a logger and disables its statistics, load
// shedding and forced exit. It changes global state of the library and may be
// called several times.
func Quiet(log *slog.Logger) {
	proc.SetTimeToForceQuit(forceQuitTimeout)
	load.Disable()
	stat.DisableLog()
	stat.SetReporter(nil)
	logx.DisableStat()
	logx.SetLevel(logx.ErrorLevel)
	logx.SetWriter(logWriter{log})
}

// logWriter implements logx.Writer. It logs everything at debug level, because
// go-zero also returns each failure that it logs to its caller, which decides on
// the severity.
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
