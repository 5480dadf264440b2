package operator_test

import (
	"context"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/declaration"
	"github.com/apricotgrade/apricotgrade/pkg/metric"
	"github.com/apricotgrade/apricotgrade/pkg/operator"
	"github.com/apricotgrade/apricotgrade/pkg/settings"
	"github.com/apricotgrade/apricotgrade/pkg/store/memory"
)

const testDeclarations = `
[account a]
key_sha256 = 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08
[data_centre north]
[data_centre south]
[model m]
[group g1]
model = m
members = 2
data_centre = north
cold_limit = 1
warm_limit = 4
[preset ordinary]
[preset peak]
`

// fakeDaemon implements operator.Daemon. It applies each command to its tables
// immediately, or refuses all commands when refusal is set.
type fakeDaemon struct {
	mu       sync.Mutex
	tables   *state.Tables
	commands []state.OperatorCommand
	refusal  *apierror.Error
	ready    bool
}

func newFakeDaemon(t *testing.T) *fakeDaemon {
	t.Helper()
	doc, err := declaration.Parse("test", []byte(testDeclarations))
	if err != nil {
		t.Fatal(err)
	}
	tables := state.NewTables(state.Self{ID: "n1", DataCentre: "north"}, state.Switches{}, 1)
	tables.Config.Loaded, tables.Config.Document = true, doc
	tables.Config.Head = state.Head{Version: 7, Preset: "ordinary", Nodes: []state.NodeEntry{{ID: "n1"}, {ID: "n2"}}}
	tables.Config.AcceptedVersion = 7
	return &fakeDaemon{tables: tables}
}

func (f *fakeDaemon) Operate(_ context.Context, command state.OperatorCommand) (state.OperatorReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.commands = append(f.commands, command)
	if f.refusal != nil {
		return state.OperatorReply{Error: f.refusal}, nil
	}
	c := &f.tables.Config
	c.Head.Version++
	switch command.Action {
	case state.ActionApply:
		c.Document = *command.Document
	case state.ActionPreset:
		c.Head.Preset = command.Preset
	case state.ActionDisable:
		c.Head.DisabledDataCentres = []state.DataCentre{command.DataCentre}
	case state.ActionEnable:
		c.Head.DisabledDataCentres = nil
	case state.ActionForget:
		c.Head.Nodes = c.Head.Nodes[:1]
	}
	return state.OperatorReply{Version: c.Head.Version, UnconfirmedNodes: []state.NodeID{"n2"}}, nil
}

func (f *fakeDaemon) View(view func(*state.Tables)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	view(f.tables)
}

func (f *fakeDaemon) Now() time.Duration { return 10 * time.Second }
func (f *fakeDaemon) Ready() bool        { return f.ready }

func (f *fakeDaemon) receivedCommands() []state.OperatorCommand {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.commands
}

func startServer(t *testing.T, f *fakeDaemon, store *memory.Store) *httptest.Server {
	t.Helper()
	handler, err := operator.NewServer(f, store, metric.New(), []settings.Operator{
		{Name: "ann", Key: "key-a"}, {Name: "bob", Key: "key-b"},
	}).Handler()
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server
}
