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
	"github.com/apricotgrade/apricotgrade/pkg/metric"
	"github.com/apricotgrade/apricotgrade/pkg/operator"
	"github.com/apricotgrade/apricotgrade/pkg/platform"
	"github.com/apricotgrade/apricotgrade/pkg/settings"
	"github.com/apricotgrade/apricotgrade/pkg/target"
)

// headerTimeout bounds the time in which a client sends its request headers.
const headerTimeout = 10 * time.Second

// Node is an entry daemon with open listeners.
type Node struct {
	daemon   *daemon.Daemon
	log      *slog.Logger
	callers  net.Listener
	admin    net.Listener
	gateway  http.Handler
	operator http.Handler
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
	admin, err := net.Listen("tcp", cfg.Admin)
	if err != nil {
		_ = callers.Close()
		return nil, errors.Wrap(err, "listen for operators; choose a free address in setting admin_listen")
	}
	self := state.Self{
		ID: state.NodeID(cfg.ID), DataCentre: state.DataCentre(cfg.DataCentre), Address: cfg.PeerAddress,
		Incarnation: state.Incarnation(time.Now().UnixNano()), DrainNotice: cfg.Drain,
	}
	targets := target.New()
	core := core.New(self, state.Switches{}, uint64(self.Incarnation))
	d := daemon.New(core, p, targets, nil, log)
	recorder := metric.New()
	d.Observe(recorder)
	api, err := operator.NewServer(d, p, recorder, cfg.Operators).Handler()
	if err != nil {
		_ = callers.Close()
		_ = admin.Close()
		return nil, err
	}
	return &Node{
		daemon: d, log: log, callers: callers, admin: admin,
		gateway: gateway.New(d, targets).Handler(), operator: api,
	}, nil
}

// CallerAddress returns the address of the listener for callers.
func (n *Node) CallerAddress() string { return n.callers.Addr().String() }

// AdminAddress returns the address of the listener for operators.
func (n *Node) AdminAddress() string { return n.admin.Addr().String() }

// Status returns what the node knows, as the operator API reports it.
func (n *Node) Status() operator.Status {
	var status operator.Status
	n.daemon.View(func(t *state.Tables) { status = operator.NewStatus(t, n.daemon.Now()) })
	return status
}

// Done is closed when the node has shut down.
func (n *Node) Done() <-chan struct{} { return n.daemon.Done() }

// Shutdown begins a graceful shutdown. A second call changes nothing.
func (n *Node) Shutdown() { n.daemon.Feed(state.Shutdown{}) }

// Run serves until a graceful shutdown has ended. Cancelling the context ends
// it at once and cuts requests off.
func (n *Node) Run(ctx context.Context) {
	callers := &http.Server{Handler: n.gateway, ReadHeaderTimeout: headerTimeout}
	admin := &http.Server{Handler: n.operator, ReadHeaderTimeout: headerTimeout}
	go n.serve(ctx, callers, n.callers)
	go n.serve(ctx, admin, n.admin)
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		select {
		case <-n.daemon.Stopping():
			// Shutdown closes the listener and waits until the handlers have
			// written the last byte.
			_ = callers.Shutdown(ctx)
		case <-ctx.Done():
		}
	}()
	n.daemon.Run(ctx)
	<-closed
	_ = callers.Close()
	_ = admin.Close()
}

func (n *Node) serve(ctx context.Context, server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		n.log.LogAttrs(ctx, slog.LevelError, "listener failed", slog.String("address", listener.Addr().String()), slog.Any("error", err))
	}
}
