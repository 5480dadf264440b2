// Command apricotgraded is the entry daemon.
package main

import (
	"context"
	"flag"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/apricotgrade/apricotgrade/pkg/core"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/daemon"
	"github.com/apricotgrade/apricotgrade/pkg/gateway"
	"github.com/apricotgrade/apricotgrade/pkg/peer"
	"github.com/apricotgrade/apricotgrade/pkg/platform"
	"github.com/apricotgrade/apricotgrade/pkg/settings"
	"github.com/apricotgrade/apricotgrade/pkg/target"
)

func main() {
	path := flag.String("settings", "apricotgraded.ini", "settings file")
	flag.Parse()
	if err := run(*path); err != nil {
		slog.Error("apricotgraded failed", "error", err)
		os.Exit(1)
	}
}

func run(path string) error {
	cfg, err := settings.LoadNode(path)
	if err != nil {
		return err
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	self := state.Self{
		ID: state.NodeID(cfg.ID), DataCentre: state.DataCentre(cfg.DataCentre), Address: cfg.Peer,
		Incarnation: state.Incarnation(time.Now().UnixNano()), DrainNotice: cfg.Drain,
	}
	targets := target.New()
	node := core.New(self, state.Switches{}, uint64(self.Incarnation))
	links := peer.New(self, []byte(cfg.PeerKey), log)
	d := daemon.New(node, platform.NewClient(cfg.Platform, &http.Client{}), targets, links, log)
	links.Start(d.Feed)
	defer links.Close()
	peers := &http.Server{Addr: cfg.Peer, Handler: links.Handler(), ReadHeaderTimeout: 10 * time.Second}
	go func() {
		if err := peers.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
			log.Error("listener of peers failed", "error", err)
		}
	}()
	defer func() { _ = peers.Close() }()
	server := &http.Server{Addr: cfg.Listen, Handler: gateway.New(d, targets).Handler(), ReadHeaderTimeout: 10 * time.Second}
	go func() {
		<-d.Stopping()
		_ = server.Shutdown(context.Background())
	}()
	go func() {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
		<-signals
		d.Feed(state.Shutdown{})
	}()
	go func() { _ = server.ListenAndServe() }()
	d.Run(context.Background())
	return nil
}
