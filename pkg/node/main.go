package node

import (
	"context"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/apricotgrade/apricotgrade/internal/gozero"
	"github.com/apricotgrade/apricotgrade/pkg/settings"
)

// Main runs the entry daemon of a settings file until SIGTERM or an interrupt
// has ended it gracefully.
func Main(ctx context.Context, path string, logTo io.Writer) error {
	QuietLibraries()
	// go-zero takes SIGTERM from its first import on, and drops it now. A
	// signal that comes before the node runs must wait here.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	cfg, err := settings.LoadNode(path)
	if err != nil {
		return err
	}
	log := slog.New(slog.NewTextHandler(logTo, &slog.HandlerOptions{Level: cfg.LogLevel}))
	n, err := New(cfg, nil, log)
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
	n.Run(ctx)
	return nil
}

// QuietLibraries stops go-zero from ending the process 5.5 s after SIGTERM,
// which would cut streams off, and from logging and sampling on its own.
func QuietLibraries() { gozero.Quiet(slog.Default()) }
