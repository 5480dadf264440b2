package command

import (
	"context"
	"flag"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/dev"
	"github.com/apricotgrade/apricotgrade/pkg/node"
)

// devReadyTimeout bounds the time until the development system is ready.
const devReadyTimeout = 60 * time.Second

func newDev() *Command {
	var listen, adminListen string
	verbose := false
	return &Command{
		name: "dev", synopsis: "run the whole system in one process with stand-ins",
		help: "Two entry nodes, an in-memory platform, four replica groups in two data centres and an order service.\nShuts down on an interrupt; a second interrupt cancels open requests.",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&listen, "listen", dev.DefaultListen, "address for callers of the first node")
			f.StringVar(&adminListen, "admin-listen", dev.DefaultAdmin, "address for operators of the first node")
			f.BoolVar(&verbose, "verbose", false, "log all events instead of only errors")
		},
		run: func(ctx context.Context, e *environment, args []string) error {
			if len(args) != 0 {
				return errUsage
			}
			level := slog.LevelError
			if verbose {
				level = slog.LevelDebug
			}
			log := slog.New(slog.NewTextHandler(e.stderr, &slog.HandlerOptions{Level: level}))
			return runDev(ctx, e, dev.Options{Listen: listen, Admin: adminListen, Log: log})
		},
	}
}

// runDev runs the development system until it has shut down. The first signal starts
// a graceful shutdown, the second cancels open requests.
func runDev(ctx context.Context, e *environment, options dev.Options) error {
	node.QuietLibraries()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	system, err := dev.New(ctx, options)
	if err != nil {
		return err
	}
	defer system.Close()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	go func() {
		<-signals
		system.Shutdown()
		<-signals
		cancel()
	}()
	system.Print(e.stdout)
	go func() {
		readyCtx, cancelReady := context.WithTimeout(ctx, devReadyTimeout)
		defer cancelReady()
		if err := system.WaitUntilReady(readyCtx); err != nil {
			fprintln(e.stderr, "not ready:", err)
			return
		}
		fprintln(e.stdout, "ready")
	}()
	system.Run(ctx)
	return nil
}
