package standin

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/declaration"
	"github.com/apricotgrade/apricotgrade/pkg/settings"
	"github.com/apricotgrade/apricotgrade/pkg/store/memory"
)

// readHeaderTimeout limits the time in which a client sends its headers.
const readHeaderTimeout = 10 * time.Second

// Commands returns the subcommands; each runs one stand-in.
func Commands() []subcommands.Command {
	return []subcommands.Command{
		&command{name: "platform", synopsis: "table service, object store and host list in memory", build: buildPlatform},
		&command{name: "engine", synopsis: "model engine of one host", build: buildEngine},
		&command{name: "service", synopsis: "one replica of an order service", build: buildService},
	}
}

// command is the subcommand of one kind of stand-in.
type command struct {
	name     string
	synopsis string
	// build reads the settings file and returns the listen address and the
	// handler of the stand-in.
	build    func(ctx context.Context, path string) (listen string, handler http.Handler, err error)
	settings string
}

// Name implements subcommands.Command.
func (c *command) Name() string { return c.name }

// Synopsis implements subcommands.Command.
func (c *command) Synopsis() string { return c.synopsis }

// Usage implements subcommands.Command.
func (c *command) Usage() string {
	return c.name + " -settings FILE\n  Runs the stand-in: " + c.synopsis + ". docs/settings.md lists the settings.\n"
}

// SetFlags implements subcommands.Command.
func (c *command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", c.name+".ini", "settings file")
}

// Execute implements subcommands.Command.
func (c *command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 0 {
		f.Usage()
		return subcommands.ExitUsageError
	}
	listen, handler, err := c.build(ctx, c.settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	server := &http.Server{Addr: listen, Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	fmt.Fprintln(os.Stderr, server.ListenAndServe())
	return subcommands.ExitFailure
}

func buildPlatform(ctx context.Context, path string) (string, http.Handler, error) {
	cfg, err := settings.LoadPlatform(path)
	if err != nil {
		return "", nil, err
	}
	store := memory.New()
	hosts := make([]state.ListedHost, 0, len(cfg.Hosts))
	for _, h := range cfg.Hosts {
		hosts = append(hosts, state.ListedHost{
			ID: state.HostID(h.ID), Address: h.Address,
			DataCentre: state.DataCentre(h.DataCentre), Domain: state.DomainID(h.Domain),
		})
	}
	store.SetHosts(hosts)
	if cfg.Declaration != "" {
		doc, err := declaration.ParseFile(cfg.Declaration)
		if err != nil {
			return "", nil, err
		}
		if !slices.ContainsFunc(doc.Presets, func(p state.PresetSpec) bool { return p.Name == cfg.Preset }) {
			return "", nil, errors.Errorf("%s: [platform] preset = %s: no such preset in %s", path, cfg.Preset, cfg.Declaration)
		}
		if err := SeedPreset(ctx, store, doc, cfg.Preset); err != nil {
			return "", nil, err
		}
	}
	return cfg.Listen, PlatformHandler(store), nil
}

func buildEngine(_ context.Context, path string) (string, http.Handler, error) {
	cfg, err := settings.LoadEngine(path)
	if err != nil {
		return "", nil, err
	}
	engine := NewEngine(state.Incarnation(time.Now().UnixNano()))
	engine.LoadTime, engine.TokenTime, engine.AnswerTokens = cfg.LoadTime, cfg.TokenTime, cfg.Tokens
	engine.ColdLimit, engine.WarmLimit, engine.CacheLag = cfg.ColdLimit, cfg.WarmLimit, cfg.CacheLag
	engine.ID, engine.Directory = state.HostID(cfg.ID), map[state.HostID]string{}
	for host, address := range cfg.Directory {
		engine.Directory[state.HostID(host)] = address
	}
	if !cfg.ChecksFencingToken {
		engine.DisableFencing()
	}
	engine.OnCrash = func() { os.Exit(1) }
	return cfg.Listen, engine.Handler(), nil
}

func buildService(_ context.Context, path string) (string, http.Handler, error) {
	cfg, err := settings.LoadService(path)
	if err != nil {
		return "", nil, err
	}
	service := NewService()
	service.ColdLimit, service.WarmLimit = cfg.ColdLimit, cfg.WarmLimit
	service.OnCrash = func() { os.Exit(1) }
	return cfg.Listen, service.Handler(), nil
}
