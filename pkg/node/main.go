package node

import (
	"context"
	"io"
	"log/slog"
	"os"
	"runtime/debug"
	"time"

	"github.com/apricotgrade/apricotgrade/internal/gozero"
	"github.com/apricotgrade/apricotgrade/pkg/event"
	"github.com/apricotgrade/apricotgrade/pkg/logging"
	"github.com/apricotgrade/apricotgrade/pkg/memory"
	"github.com/apricotgrade/apricotgrade/pkg/settings"
)

// flushTimeout bounds the wait for the last log lines when the process ends.
const flushTimeout = 200 * time.Millisecond

// Machine is what the process may use of its machine. A value above 0 takes precedence over the
// setting of the same name.
type Machine struct {
	// MemoryMB is in MiB.
	MemoryMB int
	// ProcessorShare is the part of a processor core.
	ProcessorShare float64
}

// Main runs the entry daemon with the settings of a file on a machine. A signal on stop shuts
// it down gracefully, after which Main returns. A signal on reload reloads the settings.
func Main(ctx context.Context, path string, machine Machine, logOutput io.Writer, stop, reload <-chan os.Signal) error {
	QuietLibraries()
	cfg, err := settings.LoadNode(path)
	if err != nil {
		return err
	}
	if machine.MemoryMB > 0 {
		cfg.MemoryMB = machine.MemoryMB
	}
	if machine.ProcessorShare > 0 {
		cfg.ProcessorShare = machine.ProcessorShare
	}
	debug.SetMemoryLimit(memory.CollectorBytes(cfg.MemoryBytes()))
	writer := logging.NewWriter(logOutput)
	defer writer.Close(flushTimeout)
	level := &slog.LevelVar{}
	level.Set(cfg.LogLevel)
	log := slog.New(logging.NewHandler(writer, level))
	n, err := openNode(cfg, log)
	if err != nil {
		return err
	}
	go func() {
		// Further signals are received and ignored, so that they neither end the
		// process nor shorten the graceful shutdown.
		for range stop {
			n.Shutdown()
		}
	}()
	go func() {
		for range reload {
			reloadSettings(ctx, path, level, log)
		}
	}()
	n.Run(ctx)
	return nil
}

func openNode(cfg settings.Node, log *slog.Logger) (*Node, error) {
	if cfg.Managed {
		return NewManaged(cfg, log)
	}
	return New(cfg, nil, log)
}

// reloadSettings applies the only setting that can change at run time, which is
// the log level. Addresses and names need a restart.
func reloadSettings(ctx context.Context, path string, level *slog.LevelVar, log *slog.Logger) {
	cfg, err := settings.LoadNode(path)
	if err != nil {
		event.Log(ctx, log, event.SettingsReloaded, slog.String("error", err.Error()))
		return
	}
	level.Set(cfg.LogLevel)
	event.Log(ctx, log, event.SettingsReloaded, slog.String("log_level", cfg.LogLevel.String()))
}

// QuietLibraries disables the default behaviour of go-zero: it would end the
// process 5.5 s after SIGTERM, which would cut off streams, write its own log and
// sample statistics.
func QuietLibraries() { gozero.Quiet(slog.Default()) }
