// Package dev runs the whole system in one process for development: two entry
// nodes, the in-memory platform, engine stand-ins and an order service.
package dev

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/node"
	"github.com/apricotgrade/apricotgrade/pkg/operator"
	"github.com/apricotgrade/apricotgrade/pkg/settings"
	"github.com/apricotgrade/apricotgrade/pkg/standin"
	"github.com/apricotgrade/apricotgrade/pkg/store/memory"
)

// Keys and addresses of the development mode.
const (
	CallerKey     = "dev"
	OperatorKey   = "dev-operator"
	DefaultListen = "127.0.0.1:8080"
	DefaultAdmin  = "127.0.0.1:8090"
)

const (
	groupCount = 4
	// hostsPerDomain is enough for two groups of two members and one spare.
	hostsPerDomain = 5
	// drainNotice is short because no load balancer has to notice the shutdown.
	drainNotice       = 100 * time.Millisecond
	readHeaderTimeout = 10 * time.Second
)

// Options configures a development system. Listen and Admin are the addresses of
// the first node's listeners for callers and operators; empty addresses mean the
// defaults.
type Options struct {
	Listen string
	Admin  string
	Log    *slog.Logger
}

// System is a running development system.
type System struct {
	// Nodes are the two entry nodes.
	Nodes   []*node.Node
	Service *standin.Service
	Store   *memory.Store
	servers []*http.Server
}

// New starts the stand-ins, seeds the configuration and creates the nodes. Run
// starts the nodes.
func New(ctx context.Context, o Options) (*System, error) {
	s := &System{Service: standin.NewService(), Store: memory.New()}
	if err := s.build(ctx, o); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *System) build(ctx context.Context, o Options) error {
	ordersListener, err := listenLoopback()
	if err != nil {
		return err
	}
	s.serve(ordersListener, s.Service.Handler())
	doc := standin.DemoDocument(groupCount, ordersListener.Addr().String())
	hosts, err := s.addEngines(doc)
	if err != nil {
		return err
	}
	s.Store.SetHosts(hosts)
	if err := standin.Seed(ctx, s.Store, doc); err != nil {
		return err
	}
	return s.addNodes(o, doc)
}

// addEngines starts one engine stand-in per host and returns the platform's host
// list. The engines share a directory of all addresses, with which the leader of a
// group probes the other members.
func (s *System) addEngines(doc state.Document) ([]state.ListedHost, error) {
	var hosts []state.ListedHost
	var listeners []net.Listener
	directory := map[state.HostID]string{}
	for _, dc := range doc.DataCentres {
		for i := range hostsPerDomain {
			listener, err := listenLoopback()
			if err != nil {
				return nil, err
			}
			host := state.ListedHost{
				ID: state.HostID(fmt.Sprintf("%s-h%d", dc.Name, i+1)), Address: listener.Addr().String(),
				DataCentre: dc.Name, Domain: state.DomainID(dc.Name) + "-d1",
			}
			hosts, listeners = append(hosts, host), append(listeners, listener)
			directory[host.ID] = host.Address
		}
	}
	for i, host := range hosts {
		engine := standin.NewEngine(state.Incarnation(time.Now().UnixNano()))
		engine.ID, engine.Directory = host.ID, directory
		s.serve(listeners[i], engine.Handler())
	}
	return hosts, nil
}

func (s *System) addNodes(o Options, doc state.Document) error {
	if o.Listen == "" {
		o.Listen = DefaultListen
	}
	if o.Admin == "" {
		o.Admin = DefaultAdmin
	}
	addresses := [][2]string{{o.Listen, o.Admin}, {withPortZero(o.Listen), withPortZero(o.Admin)}}
	for i, pair := range addresses {
		n, err := node.New(settings.Node{
			ID: fmt.Sprintf("n%d", i+1), DataCentre: string(doc.DataCentres[i].Name),
			Listen: pair[0], AdminListen: pair[1], PeerListen: "127.0.0.1:0", PeerKey: "dev-peer", DrainNotice: drainNotice,
			Operators: []settings.Operator{{Name: "dev", Key: OperatorKey}},
		}, s.Store, o.Log.With(slog.String("node", fmt.Sprintf("n%d", i+1))))
		if err != nil {
			return err
		}
		s.Nodes = append(s.Nodes, n)
	}
	return nil
}

// withPortZero returns the address with port 0. Listening on it selects a free port.
func withPortZero(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return "127.0.0.1:0"
	}
	return net.JoinHostPort(host, "0")
}

// listenLoopback listens on a free port of the loopback interface.
func listenLoopback() (net.Listener, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	return listener, errors.Wrap(err, "open a listener for a stand-in")
}

// serve starts the HTTP server of a stand-in. Close stops it.
func (s *System) serve(listener net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }()
}

// Run runs the nodes until all have shut down. Cancelling the context ends them
// immediately, without a graceful shutdown.
func (s *System) Run(ctx context.Context) {
	done := make(chan struct{}, len(s.Nodes))
	for _, n := range s.Nodes {
		go func() {
			n.Run(ctx)
			done <- struct{}{}
		}()
	}
	for range s.Nodes {
		<-done
	}
}

// Shutdown starts a graceful shutdown of all nodes.
func (s *System) Shutdown() {
	for _, n := range s.Nodes {
		n.Shutdown()
	}
}

// Close stops the stand-ins.
func (s *System) Close() {
	for _, server := range s.servers {
		_ = server.Close()
	}
}

// readyPollInterval is the interval at which WaitUntilReady checks the nodes.
const readyPollInterval = 50 * time.Millisecond

// WaitUntilReady waits until every node is ready and every replica group is healthy
// at every node. If the context ends first, the error contains the reason why a
// node is not ready.
func (s *System) WaitUntilReady(ctx context.Context) error {
	for {
		reason := ""
		for _, n := range s.Nodes {
			if nodeReason := notReadyReason(n.Status()); nodeReason != "" {
				reason = nodeReason
			}
		}
		if reason == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), reason)
		case <-time.After(readyPollInterval):
		}
	}
}

// notReadyReason returns why a node does not serve all groups yet, or an empty text
// if it does.
func notReadyReason(s operator.Status) string {
	if !s.Node.Ready {
		return "node " + s.Node.ID + " is not ready"
	}
	if len(s.Groups) < groupCount {
		return "node " + s.Node.ID + " does not list all replica groups"
	}
	for _, g := range s.Groups {
		if !g.Healthy {
			return "replica group " + g.Name + " is not healthy at node " + s.Node.ID
		}
	}
	return ""
}
