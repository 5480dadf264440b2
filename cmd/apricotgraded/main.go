// Command apricotgraded is the entry daemon.
package main

import (
	"context"
	"flag"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/apricotgrade/apricotgrade/internal/gozero"
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
	gozero.Quiet(log)
	callers, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	peers, err := net.Listen("tcp", cfg.Peer)
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	self := state.Self{
		ID: state.NodeID(cfg.ID), DataCentre: state.DataCentre(cfg.DataCentre), Address: peers.Addr().String(),
		Incarnation: state.Incarnation(time.Now().UnixNano()), DrainNotice: cfg.Drain,
	}
	targets := target.New()
	links := peer.New(self, []byte(cfg.PeerKey), log)
	node := core.New(self, state.Switches{}, uint64(self.Incarnation))
	d := daemon.New(node, platform.NewClient(cfg.Platform, &http.Client{}), targets, links, log)
	links.Start(d.Feed)
	defer links.Close()
	peerServer := &http.Server{Handler: links.Handler(), ReadHeaderTimeout: 10 * time.Second}
	defer func() { _ = peerServer.Close() }()
	go serve(log, "peers", func() error { return peerServer.Serve(peers) })

	g := gateway.New(d, targets, gateway.Options{TokenKey: []byte(cfg.PeerKey), Log: log})
	server := gateway.NewServer(g.Handler())
	go serve(log, "callers", func() error { return server.Serve(callers) })
	log.Info("node listens", "callers", callers.Addr().String(), "peers", peers.Addr().String())

	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		// Later signals change nothing: a shutdown ends every exchange first.
		for range signals {
			d.Feed(state.Shutdown{})
		}
	}()
	go func() {
		<-d.Stopping()
		server.StopAccepting()
	}()
	d.Run(context.Background())
	return server.Shutdown(context.Background())
}

func serve(log *slog.Logger, name string, f func() error) {
	if err := f(); err != nil && !errors.Is(err, http.ErrServerClosed) {
		log.Error("listener failed", "listener", name, "error", err)
	}
}
