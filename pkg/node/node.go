// Package node assembles an entry daemon from its settings: the decision core,
// its event loop and its listeners.
package node

import (
	"context"
	"log/slog"
	"net"
	"net/http"
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

// headerTimeout bounds the time in which a peer sends its request headers.
const headerTimeout = 10 * time.Second

// Node is an entry daemon with open listeners.
type Node struct {
	daemon  *daemon.Daemon
	log     *slog.Logger
	callers net.Listener
	peers   net.Listener
	server  *gateway.Server
	links   *peer.Links
}

// New opens the listeners of an entry daemon. A nil platform means the client
// of the platform address in the settings.
func New(cfg settings.Node, p platform.Platform, log *slog.Logger) (*Node, error) {
	if p == nil {
		p = platform.NewClient(cfg.Platform, &http.Client{})
	}
	callers, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "listen for callers; choose a free address in setting listen")
	}
	peers, err := net.Listen("tcp", cfg.Peer)
	if err != nil {
		_ = callers.Close()
		return nil, errors.Wrap(err, "listen for peers; choose a free address in setting peer_listen")
	}
	self := state.Self{
		ID: state.NodeID(cfg.ID), DataCentre: state.DataCentre(cfg.DataCentre), Address: cfg.PeerAddress,
		Incarnation: state.Incarnation(time.Now().UnixNano()), DrainNotice: cfg.Drain,
	}
	targets := target.New()
	core := core.New(self, state.Switches{}, uint64(self.Incarnation))
	links := peer.New(self, []byte(cfg.PeerKey), log)
	d := daemon.New(core, p, targets, links, log)
	links.Start(d.Feed)
	g := gateway.New(d, targets, gateway.Options{TokenKey: []byte(cfg.PeerKey), Log: log})
	return &Node{
		daemon: d, log: log, callers: callers, peers: peers, server: gateway.NewServer(g.Handler()), links: links,
	}, nil
}

// CallerAddress returns the address of the listener for callers.
func (n *Node) CallerAddress() string { return n.callers.Addr().String() }

// Shutdown begins a graceful shutdown. A second call changes nothing.
func (n *Node) Shutdown() { n.daemon.Feed(state.Shutdown{}) }

// Run serves until a graceful shutdown has ended and the last answer has been
// written. Cancelling the context ends it at once and cuts requests off.
func (n *Node) Run(ctx context.Context) {
	peers := &http.Server{Handler: n.links.Handler(), ReadHeaderTimeout: headerTimeout}
	go n.serve(ctx, n.peers, peers.Serve)
	go n.serve(ctx, n.callers, n.server.Serve)
	n.log.LogAttrs(ctx, slog.LevelInfo, "node listens",
		slog.String("callers", n.CallerAddress()), slog.String("peers", n.peers.Addr().String()))
	go func() {
		<-n.daemon.Stopping()
		n.server.StopAccepting()
	}()
	n.daemon.Run(ctx)
	if err := n.server.Shutdown(ctx); err != nil {
		_ = n.server.Close()
	}
	n.links.Close()
	_ = peers.Close()
}

func (n *Node) serve(ctx context.Context, listener net.Listener, serve func(net.Listener) error) {
	if err := serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		n.log.LogAttrs(ctx, slog.LevelError, "listener failed", slog.String("address", listener.Addr().String()), slog.Any("error", err))
	}
}
