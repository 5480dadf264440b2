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
	"github.com/apricotgrade/apricotgrade/pkg/platform"
	"github.com/apricotgrade/apricotgrade/pkg/settings"
	"github.com/apricotgrade/apricotgrade/pkg/target"
)

// headerTimeout bounds the time in which a client sends its request headers.
const headerTimeout = 10 * time.Second

// Node is an entry daemon with open listeners.
type Node struct {
	daemon  *daemon.Daemon
	log     *slog.Logger
	callers net.Listener
	gateway http.Handler
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
	self := state.Self{
		ID: state.NodeID(cfg.ID), DataCentre: state.DataCentre(cfg.DataCentre), Address: cfg.PeerAddress,
		Incarnation: state.Incarnation(time.Now().UnixNano()), DrainNotice: cfg.Drain,
	}
	targets := target.New()
	core := core.New(self, state.Switches{}, uint64(self.Incarnation))
	d := daemon.New(core, p, targets, nil, log)
	return &Node{daemon: d, log: log, callers: callers, gateway: gateway.New(d, targets).Handler()}, nil
}

// CallerAddress returns the address of the listener for callers.
func (n *Node) CallerAddress() string { return n.callers.Addr().String() }

// Shutdown begins a graceful shutdown. A second call changes nothing.
func (n *Node) Shutdown() { n.daemon.Feed(state.Shutdown{}) }

// Run serves until a graceful shutdown has ended. Cancelling the context ends
// it at once and cuts requests off.
func (n *Node) Run(ctx context.Context) {
	callers := &http.Server{Handler: n.gateway, ReadHeaderTimeout: headerTimeout}
	go n.serve(ctx, callers, n.callers)
	go func() {
		select {
		case <-n.daemon.Stopping():
			// Shutdown closes the listener and waits for the requests.
			_ = callers.Shutdown(context.WithoutCancel(ctx))
		case <-n.daemon.Done():
			_ = callers.Close()
		}
	}()
	n.daemon.Run(ctx)
}

func (n *Node) serve(ctx context.Context, server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		n.log.LogAttrs(ctx, slog.LevelError, "listener failed", slog.String("address", listener.Addr().String()), slog.Any("error", err))
	}
}
