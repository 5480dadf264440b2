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

// flushTimeout bounds the wait for the last log lines.
const flushTimeout = 200 * time.Millisecond

// Main runs the entry daemon of a settings file until SIGTERM or an interrupt
// has ended it gracefully. SIGHUP reads the settings again.
func Main(ctx context.Context, path string, logOutput io.Writer) error {
	QuietLibraries()
	// go-zero takes SIGTERM from its first import on, and drops it now. A
	// signal that comes before the node runs must wait here.
	stopSignals := make(chan os.Signal, 1)
	signal.Notify(stopSignals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(stopSignals)
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	defer signal.Stop(reloadSignals)
	cfg, err := settings.LoadNode(path)
	if err != nil {
		return err
	}
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
		// Further signals are received and dropped, so that they neither end
		// the process nor shorten the shutdown.
		for range stopSignals {
			n.Shutdown()
		}
	}()
	go func() {
		for range reloadSignals {
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

// reloadSettings takes from the settings what can change while the node runs, which is
// the log level. Listeners and names need a restart.
func reloadSettings(ctx context.Context, path string, level *slog.LevelVar, log *slog.Logger) {
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
