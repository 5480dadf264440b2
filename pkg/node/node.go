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
	"github.com/apricotgrade/apricotgrade/pkg/event"
	"github.com/apricotgrade/apricotgrade/pkg/gateway"
	"github.com/apricotgrade/apricotgrade/pkg/memory"
	"github.com/apricotgrade/apricotgrade/pkg/metric"
	"github.com/apricotgrade/apricotgrade/pkg/operator"
	"github.com/apricotgrade/apricotgrade/pkg/peer"
	"github.com/apricotgrade/apricotgrade/pkg/settings"
	"github.com/apricotgrade/apricotgrade/pkg/store"
	"github.com/apricotgrade/apricotgrade/pkg/target"
	"github.com/apricotgrade/apricotgrade/pkg/watch"
)

// Node is an entry daemon with open listeners.
type Node struct {
	daemon  *daemon.Daemon
	log     *slog.Logger
	callers net.Listener
	peers   net.Listener
	admin   net.Listener
	// readiness receives health checks; nil where they go to the admin listener.
	readiness net.Listener
	readyPath string
	server    *gateway.Server
	operator  http.Handler
	conns     connections
	links     *peer.Links
	// watchers watch the tables of the platform's store on a managed node.
	watchers []*watch.Watcher
}

// New returns an entry daemon and opens its listeners. If platform is nil, New
// creates a client for the platform address in the settings.
func New(cfg settings.Node, platform store.Platform, log *slog.Logger) (*Node, error) {
	if platform == nil {
		platform = store.NewClient(cfg.PlatformURL)
	}
	listeners, err := listen(cfg)
	if err != nil {
		return nil, err
	}
	self := newSelf(cfg, listeners)
	targets := target.New()
	n, recorder, err := assemble(cfg, core.New(self, state.Switches{}, uint64(self.Incarnation)), self, platform, targets, listeners, log)
	if err != nil {
		return nil, err
	}
	g := gateway.New(n.daemon, targets, gateway.Options{TokenKey: []byte(cfg.PeerKey), Log: log, Memory: newBudget(&cfg, recorder)})
	recorder.RegisterGateway(g.Counters())
	n.server = gateway.NewServer(g.Handler(), n.callerConnections(&cfg))
	return n, nil
}

// newBudget returns the memory for requests and answers.
func newBudget(cfg *settings.Node, recorder *metric.Recorder) *memory.Budget {
	budget := memory.NewBudget(memory.RequestBytes(cfg.MemoryBytes()))
	recorder.RegisterMemory(budget)
	return budget
}

// newSelf returns the description of this node from its settings and its peer
// listener.
func newSelf(cfg settings.Node, l listeners) state.Self {
	return state.Self{
		ID: state.NodeID(cfg.ID), DataCentre: state.DataCentre(cfg.DataCentre), Address: advertisedAddress(cfg, l.peers),
		Incarnation: state.Incarnation(time.Now().UnixNano()), DrainNotice: cfg.DrainNotice,
		FirstStart: cfg.FirstStart, RetryRatio: cfg.RetryRatio, RetryBase: cfg.RetryBase, ProcessorShare: cfg.ProcessorShare,
		PromptCacheRetention: cfg.PromptCacheRetention,
	}
}

// assemble connects a decision core with its event loop, peer links, metrics and
// operator API. It closes the listeners if it fails.
func assemble(cfg settings.Node, decisionCore *core.Node, self state.Self, platform store.Platform, targets *target.Client, l listeners, log *slog.Logger) (*Node, *metric.Recorder, error) {
	links := peer.New(self, []byte(cfg.PeerKey), log)
	d := daemon.New(decisionCore, platform, targets, links, log)
	recorder := metric.New()
	links.SetMeter(recorder)
	links.SetInputHandler(d.Feed)
	d.Observe(recorder)
	recorder.RegisterDaemon(d.Counters(), d.QueuedInputs)
	api, err := operator.NewServer(d, platform, recorder, cfg.Operators).Handler()
	if err != nil {
		l.close()
		return nil, nil, err
	}
	n := &Node{
		daemon: d, log: log, callers: l.callers, peers: l.peers, admin: l.admin, readiness: l.readiness,
		operator: api, links: links, readyPath: cfg.ReadyPath,
		conns: connections{memory: cfg.MemoryBytes(), recorder: recorder, log: log},
	}
	return n, recorder, nil
}

// CallerAddress returns the address of the listener for callers.
func (n *Node) CallerAddress() string { return n.callers.Addr().String() }

// AdminAddress returns the address of the listener for operators.
func (n *Node) AdminAddress() string { return n.admin.Addr().String() }

// Status returns the status of the node as the operator API reports it.
func (n *Node) Status() operator.Status {
	return operator.ReadStatus(n.daemon)
}

// Done returns a channel that is closed when the event loop has ended.
func (n *Node) Done() <-chan struct{} { return n.daemon.Done() }

// Shutdown starts a graceful shutdown. Further calls have no effect.
func (n *Node) Shutdown() { n.daemon.Feed(state.Shutdown{}) }

// Run serves until a graceful shutdown has ended and the last answer has been
// written. Cancelling the context stops it at once and cuts off running requests.
func (n *Node) Run(ctx context.Context) {
	peerServer := n.conns.newServer("peers", n.links.Handler())
	adminServer := n.conns.newServer("admin", n.operator)
	go n.serve(ctx, n.peers, peerServer.serve)
	go n.serve(ctx, n.admin, adminServer.serve)
	go n.serve(ctx, n.callers, n.server.Serve)
	if n.readiness != nil {
		readinessServer := n.conns.newServer("readiness", n.readinessHandler())
		go n.serve(ctx, n.readiness, readinessServer.serve)
		defer func() { _ = readinessServer.Close() }()
	}
	watchCtx, stopWatchers := context.WithCancel(ctx)
	defer stopWatchers()
	for _, w := range n.watchers {
		go w.Run(watchCtx)
	}
	event.Log(ctx, n.log, event.NodeStarted,
		slog.String("callers", n.CallerAddress()), slog.String("peers", n.peers.Addr().String()), slog.String("operators", n.AdminAddress()))
	go func() {
		<-n.daemon.Stopping()
		n.server.StopAccepting()
	}()
	n.daemon.Run(ctx)
	if err := n.server.Shutdown(ctx); err != nil {
		_ = n.server.Close()
	}
	n.links.Close()
	_ = peerServer.Close()
	_ = adminServer.Close()
}

// readinessHandler returns the handler of the load balancer's health checks.
func (n *Node) readinessHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+n.readyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !n.daemon.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

func (n *Node) serve(ctx context.Context, listener net.Listener, serve func(net.Listener) error) {
	if err := serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		n.log.LogAttrs(ctx, slog.LevelError, "stopped serving a listener after an error", slog.String("address", listener.Addr().String()), slog.Any("error", err))
	}
}

type listeners struct{ callers, peers, admin, readiness net.Listener }

// listen opens the listeners of a node. It closes them all if one cannot be
// opened.
func listen(cfg settings.Node) (listeners, error) {
	var l listeners
	for _, spec := range []struct {
		address, setting string
		listener         *net.Listener
	}{
		{cfg.Listen, "listen", &l.callers}, {cfg.PeerListen, "peer_listen", &l.peers}, {cfg.AdminListen, "admin_listen", &l.admin},
		{cfg.ReadyListen, "ready_listen", &l.readiness},
	} {
		if spec.address == "" {
			continue
		}
		listener, err := gateway.Listen(spec.address)
		if err != nil {
			l.close()
			return l, errors.Wrapf(err, "cannot listen on the address in setting %s, choose a free one", spec.setting)
		}
		*spec.listener = listener
	}
	return l, nil
}

func (l listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.peers, l.admin, l.readiness} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// advertisedAddress returns the address at which peers reach this node: the
// setting, or the address of the listener if the setting has no port or port 0.
func advertisedAddress(cfg settings.Node, peers net.Listener) string {
	if _, port, err := net.SplitHostPort(cfg.PeerAddress); err == nil && port != "0" {
		return cfg.PeerAddress
	}
	return peers.Addr().String()
}
