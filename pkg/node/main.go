package node

import (
	"context"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/apricotgrade/apricotgrade/internal/gozero"
	"github.com/apricotgrade/apricotgrade/pkg/event"
	"github.com/apricotgrade/apricotgrade/pkg/logging"
	"github.com/apricotgrade/apricotgrade/pkg/settings"
)

// flushTime bounds the wait for the last log lines.
const flushTime = 200 * time.Millisecond

// Main runs the entry daemon of a settings file until SIGTERM or an interrupt
// has ended it gracefully. SIGHUP reads the settings again.
func Main(ctx context.Context, path string, logTo io.Writer) error {
	QuietLibraries()
	// go-zero takes SIGTERM from its first import on, and drops it now. A
	// signal that comes before the node runs must wait here.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	defer signal.Stop(reloads)
	cfg, err := settings.LoadNode(path)
	if err != nil {
		return err
	}
	lines := logging.NewWriter(logTo)
	defer lines.Close(flushTime)
	level := &slog.LevelVar{}
	level.Set(cfg.LogLevel)
	log := slog.New(logging.NewHandler(lines, level))
	n, err := open(cfg, log)
	if err != nil {
		return err
	}
	go func() {
		// Further signals are received and dropped, so that they neither end
		// the process nor shorten the shutdown.
		for range signals {
			n.Shutdown()
		}
	}()
	go func() {
		for range reloads {
			reload(ctx, path, level, log)
		}
	}()
	n.Run(ctx)
	return nil
}

func open(cfg settings.Node, log *slog.Logger) (*Node, error) {
	if cfg.Managed {
		return NewManaged(cfg, log)
	}
	return New(cfg, nil, log)
}

// reload takes from the settings what can change while the node runs, which is
// the log level. Listeners and names need a restart.
func reload(ctx context.Context, path string, level *slog.LevelVar, log *slog.Logger) {
	cfg, err := settings.LoadNode(path)
	if err != nil {
		event.Log(ctx, log, event.SettingsReloaded, slog.String("error", err.Error()))
		return
	}
	level.Set(cfg.LogLevel)
	event.Log(ctx, log, event.SettingsReloaded, slog.String("log_level", cfg.LogLevel.String()))
}

// QuietLibraries stops go-zero from ending the process 5.5 s after SIGTERM,
// which would cut streams off, and from logging and sampling on its own.
func QuietLibraries() { gozero.Quiet(slog.Default()) }
