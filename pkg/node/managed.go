package node

import (
	"context"
	"log/slog"
	"net/url"

	"github.com/pkg/errors"

	"github.com/apricotgrade/apricotgrade/pkg/core"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/gateway"
	"github.com/apricotgrade/apricotgrade/pkg/settings"
	"github.com/apricotgrade/apricotgrade/pkg/store"
	"github.com/apricotgrade/apricotgrade/pkg/target"
	"github.com/apricotgrade/apricotgrade/pkg/watch"
	"github.com/apricotgrade/apricotgrade/platform"
)

// errUnsupported is returned for calls to platform services that a managed node
// does not use.
var errUnsupported = errors.New("not supported on a managed node, whose platform holds the configuration")

// managedStore adapts the platform's store to the event loop. A managed node uses
// the tables alone, and neither the object store nor the list of hosts.
type managedStore struct{ store.Tables }

func (managedStore) Put(context.Context, string, []byte) error { return errUnsupported }

func (managedStore) Get(context.Context, string) ([]byte, error) { return nil, errUnsupported }

func (managedStore) List(context.Context) ([]state.ListedHost, error) { return nil, errUnsupported }

// NewManaged returns an entry daemon whose platform holds the configuration, and
// opens its listeners.
func NewManaged(cfg settings.Node, log *slog.Logger) (*Node, error) {
	address, err := url.Parse(cfg.PlatformURL)
	if err != nil {
		return nil, errors.Wrap(err, "parse the URL in setting platform")
	}
	listeners, err := listen(cfg)
	if err != nil {
		return nil, err
	}
	self := newSelf(cfg, listeners)
	tables := platform.NewStoreClient(address.Host)
	targets := target.New()
	n, recorder, err := assemble(cfg, core.NewManaged(self, uint64(self.Incarnation)), self, managedStore{tables}, targets, listeners, log)
	if err != nil {
		return nil, err
	}
	n.daemon.SetHostClient(platform.NewHostClient(log))
	rows := platform.NewTableReader(tables, log)
	for _, table := range []state.TableKind{state.OperatorTable, state.InstanceTable, state.NodeTable} {
		n.watchers = append(n.watchers, watch.New(table, rows, n.daemon, log))
	}
	n.daemon.OnWatchTables(func(options state.WatchTables) {
		tables.ObserveEra(options.Era)
		for _, w := range n.watchers {
			w.Configure(options)
		}
	})
	budget := newBudget(&cfg, recorder)
	g := gateway.NewRoutedGateway(n.daemon, targets, platform.HeaderCodec{}, budget, log)
	g.SetMeter(recorder)
	n.server = gateway.NewServer(g, n.callerConnections(&cfg))
	return n, nil
}
