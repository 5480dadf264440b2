package settings

import (
	"strings"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/inifile"
)

// maxLimit bounds the concurrency limits of the stand-ins, in requests.
const maxLimit = 100_000

// NodeTable describes the settings of the entry daemon.
var NodeTable = inifile.Table{
	Title: "Entry daemon",
	Help:  "Read by `apricotgraded -settings FILE`. The format is the same on every entry host.",
	Sections: []inifile.Section{
		{
			Name: "node", Required: true, Help: "The entry daemon itself.",
			Keys: []inifile.Key{
				{Name: "id", Kind: inifile.Name, Required: true, Help: "Name of this node, different on every entry host. It is the node's key in the registry of the configuration."},
				{Name: "data_centre", Kind: inifile.Name, Required: true, Help: "Data centre of this entry host, as declared."},
				{Name: "listen", Kind: inifile.Listen, Default: "127.0.0.1:8080", Help: "Listener for callers."},
				{Name: "admin_listen", Kind: inifile.Listen, Default: "127.0.0.1:8090", Help: "Listener for operators, health checks and metrics."},
				{Name: "peer_listen", Kind: inifile.Listen, Default: "127.0.0.1:8070", Help: "Listener for other entry daemons."},
				{Name: "peer_address", Kind: inifile.Address, DefaultNote: "`peer_listen`", Help: "Address at which other entry daemons reach `peer_listen`. It is published in the registry of the configuration."},
				{Name: "peer_key", Kind: inifile.Secret, Required: true, Help: "Key that all entry daemons share and with which they authenticate each other."},
				{Name: "platform", Kind: inifile.URL, Required: true, Help: "Base URL of the platform's table service, object store and host list."},
				{
					Name: "configuration", Kind: inifile.Choice, Default: "own", Choices: []string{"own", "platform"},
					Help: "Source of the configuration: `own` if operators apply declarations to this system, `platform` if the platform's store holds routes, services and accounts and lists the targets.",
				},
				{Name: "first_start", Kind: inifile.Boolean, Default: "false", Help: "Whether the whole installation starts for the first time. If so, loads of weights are not paced until the first request. Used with `configuration = platform`."},
				{Name: "ready_listen", Kind: inifile.Listen, Help: "Listener for the load balancer's health checks if they do not go to `admin_listen`."},
				{Name: "ready_path", Kind: inifile.Path, Default: "/readyz", Help: "Path of the health check on `ready_listen`."},
				{
					Name: "drain_notice", Kind: inifile.Duration, Default: "3s", Min: 0, Max: int64(10 * time.Minute),
					Help: "Time for which a node that shuts down still accepts requests after `/readyz` starts to return 503. It must exceed the period of the load balancer's health checks.",
				},
				{Name: "retry_ratio", Kind: inifile.Ratio, Default: "0.2", Help: "Retries per request that the platform allows a service, over all nodes in 10 s. Used with `configuration = platform`."},
				{Name: "retry_base", Kind: inifile.Integer, Default: "130", Min: 0, Max: 1_000_000, Unit: "retries", Help: "Retries that the platform allows a service in addition, over all nodes in 10 s. Used with `configuration = platform`."},
				{
					Name: "memory_mb", Kind: inifile.Integer, Default: "184", Min: 64, Max: 1 << 20, Unit: "MiB",
					Help: "Memory that the process may use, above which the host ends it. Six tenths are for the bodies and answers of requests; a request that finds none is refused. 0.12 is for connections of callers whose requests are not complete; those that hold most for longest are closed. The flag `-memory-mb` of the daemon takes precedence.",
				},
				{
					Name: "processor_share", Kind: inifile.Ratio, Default: "1",
					Help: "Part of a processor core that the process may use. Where more than nine nodes run, those with the largest part relay messages and form replica groups. Used with `configuration = platform`. The flag `-processor-share` of the daemon takes precedence.",
				},
				{
					Name: "prompt_cache_retention", Kind: inifile.Duration, Default: "0s", Min: 0, Max: int64(time.Hour),
					Help: "Time for which a target is expected to keep the beginning of a prompt after its last use, unless other prompts take its memory. Requests then prefer such a target by the prefill time that they save. 0 is for engines that keep no prompts, and switches this off. Used with `configuration = platform`.",
				},
				{Name: "log_level", Kind: inifile.Choice, Default: "info", Choices: []string{"debug", "info", "warn", "error"}, Help: "Lowest level of log lines."},
			},
		},
		{
			Name: "operator", Named: true,
			Help: "An operator. The name appears in the audit trail. At least one is required with `configuration = own`.",
			Keys: []inifile.Key{
				{Name: "key", Kind: inifile.Secret, Required: true, Help: "Key of this operator, sent as `Authorization: Bearer`."},
			},
		},
	},
}

// PlatformTable describes the settings of the platform stand-in.
var PlatformTable = inifile.Table{
	Title: "Platform stand-in",
	Help:  "Read by `apricotgrade-standin platform -settings FILE`. For tests only: it keeps everything in memory.",
	Sections: []inifile.Section{
		{
			Name: "platform", Required: true, Help: "The stand-in itself.",
			Keys: []inifile.Key{
				{Name: "listen", Kind: inifile.Listen, Required: true, Help: "Listener for the platform's services."},
				{Name: "declaration", Kind: inifile.Text, Help: "File with the declarations of the first configuration, relative to this file. If it is not set, the table service starts empty."},
				{Name: "preset", Kind: inifile.Name, Default: "ordinary", Help: "Preset of the first configuration."},
			},
		},
		{
			Name: "host", Named: true, NamePlaceholder: "ID", Help: "A host of the platform's host list.",
			Keys: []inifile.Key{
				{Name: "address", Kind: inifile.Address, Required: true, Help: "Address of the engine on this host."},
				{Name: "data_centre", Kind: inifile.Name, Required: true, Help: "Data centre of the host."},
				{Name: "domain", Kind: inifile.Name, Required: true, Help: "Fabric domain of the host."},
			},
		},
	},
}

// EngineTable describes the settings of an engine stand-in.
var EngineTable = inifile.Table{
	Title: "Engine stand-in",
	Help:  "Read by `apricotgrade-standin engine -settings FILE`. It stands for the model engine on one host.",
	Sections: []inifile.Section{{
		Name: "engine", Required: true, Help: "The stand-in itself.",
		Keys: []inifile.Key{
			{Name: "listen", Kind: inifile.Listen, Required: true, Help: "Listener for requests and orders to the engine."},
			{Name: "load_time", Kind: inifile.Duration, Default: "100ms", Max: int64(time.Hour), Help: "Time that a load order takes."},
			{Name: "token_time", Kind: inifile.Duration, Default: "2ms", Max: int64(time.Minute), Help: "Time between two tokens of a stream."},
			{Name: "tokens", Kind: inifile.Integer, Unit: "tokens", Default: "16", Min: 1, Max: 1 << 20, Help: "Length of each answer."},
			{Name: "id", Kind: inifile.Name, Help: "Host of the engine in the platform's host list."},
			{Name: "directory", Kind: inifile.Labels, Help: "Addresses of all engines as `HOST:IP:port`. If it is set, the leader of a group probes the other members and fails when one of them is dead."},
			{Name: "cold_limit", Kind: inifile.Integer, Unit: "requests", Default: "0", Max: maxLimit, Help: "Maximum number of requests in flight at a newly started engine; 0 means that neither limit applies."},
			{Name: "warm_limit", Kind: inifile.Integer, Unit: "requests", Default: "0", Max: maxLimit, Help: "Maximum number of requests in flight at a warm engine. A value below `cold_limit` counts as `cold_limit`."},
			{Name: "cache_lag", Kind: inifile.Duration, Default: "0s", Max: int64(time.Minute), Help: "Delay with which the engine publishes cache events."},
			{Name: "checks_fence", Kind: inifile.Boolean, Default: "true", Help: "Whether the engine refuses orders with an outdated fencing token."},
		},
	}},
}

// ServiceTable describes the settings of a service stand-in.
var ServiceTable = inifile.Table{
	Title: "Service stand-in",
	Help:  "Read by `apricotgrade-standin service -settings FILE`. It stands for one replica of an order service and counts executions by key.",
	Sections: []inifile.Section{{
		Name: "service", Required: true, Help: "The stand-in itself.",
		Keys: []inifile.Key{
			{Name: "listen", Kind: inifile.Listen, Required: true, Help: "Listener for requests to the service."},
			{Name: "cold_limit", Kind: inifile.Integer, Unit: "requests", Default: "0", Max: maxLimit, Help: "Maximum number of requests in flight at a newly started service; 0 means that neither limit applies."},
			{Name: "warm_limit", Kind: inifile.Integer, Unit: "requests", Default: "0", Max: maxLimit, Help: "Maximum number of requests in flight at a warm service. A value below `cold_limit` counts as `cold_limit`."},
		},
	}},
}

const intro = `# Settings

Settings are INI files. This page is generated from the tables in ` + "`pkg/settings`" + `; a test compares the two. To update it:

    go test ./pkg/settings -update

An unknown section or key, a key or section given twice, a missing required key and a value outside its range are errors. All errors of a file are reported at once, each with section, key, value and the allowed values. Values are literal: comments are on separate lines that start with ` + "`#` or `;`" + `, and values are not quoted. A duration has a unit (` + "`250ms`, `3s`, `1m30s`" + `).

A secret can be read from a file: the key with the suffix ` + "`_file`" + ` names the file, relative to the settings file. White space around the secret is removed. Secrets never appear in log lines, errors or audit records.

`

// Markdown returns the content of docs/settings.md.
func Markdown() string {
	parts := make([]string, 0, 4)
	for _, t := range []inifile.Table{NodeTable, PlatformTable, EngineTable, ServiceTable} {
		parts = append(parts, t.Markdown())
	}
	return intro + strings.Join(parts, "\n")
}
