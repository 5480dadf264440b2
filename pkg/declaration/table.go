// Package declaration reads the INI files in which operators declare client
// accounts, data centres, models, replica groups, plain services and presets.
// It checks them, formats them and compares two of them.
package declaration

import (
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/inifile"
)

const (
	// maxWeight bounds the shares of accounts, so that the smallest account is
	// still served once in a few hundred turns.
	maxWeight      = 1000
	maxConcurrency = 100_000
	maxMembers     = 64
	maxLimit       = 100_000
	maxWeightBytes = 1 << 50
	// minQueueTime and maxQueueTime bound the time that a request may wait.
	minQueueTime = 100 * time.Millisecond
	maxQueueTime = 30 * time.Second
)

// Table describes the declarations.
var Table = inifile.Table{
	Title: "Sections",
	Help:  "The order of sections has no meaning but for presets: with the first configuration the first preset is put in force.",
	Sections: []inifile.Section{
		{
			Name: "account", Named: true, Required: true, Help: "A client account.",
			Keys: []inifile.Key{
				{Name: "key_sha256", Kind: inifile.Hash, Required: true, Help: "SHA-256 of the account's key. `apricotgrade hash` prints it; the key itself is not declared."},
				{Name: "weight", Kind: inifile.Integer, Unit: "shares", Default: "1", Min: 1, Max: maxWeight, Help: "Share of the account relative to other accounts."},
				{Name: "concurrency", Kind: inifile.Integer, Unit: "requests", Default: "0", Max: maxConcurrency, Help: "Most requests in flight over all entry daemons; 0 means no limit."},
			},
		},
		{
			Name: "data_centre", Named: true, Required: true, Help: "A data centre.",
			Keys: []inifile.Key{
				{Name: "region", Kind: inifile.Name, Help: "Region of the data centre. Data centres without a region are in one region."},
				{Name: "weight_rate", Kind: inifile.Integer, Unit: "bytes a second", Default: "0", Max: maxWeightBytes, Help: "What the weight store delivers to the data centre. It paces loading; 0 means without a bound."},
			},
		},
		{
			Name: "model", Named: true, Help: "A model.",
			Keys: []inifile.Key{
				{Name: "versions", Kind: inifile.Names, Help: "Versions of the model."},
				{Name: "adapters", Kind: inifile.Names, Help: "Adapters of the model."},
				{Name: "weight_bytes", Kind: inifile.Integer, Unit: "bytes", Default: "0", Max: maxWeightBytes, Help: "Size of the weights that each member loads. It paces loading from the weight store."},
			},
		},
		{
			Name: "group", Named: true, Help: "A replica group.",
			Keys: []inifile.Key{
				{Name: "model", Kind: inifile.Name, Required: true, Help: "Model that the group serves."},
				{Name: "version", Kind: inifile.Name, DefaultNote: "required if the model has versions", Help: "Version that the group serves."},
				{Name: "adapters", Kind: inifile.Names, Help: "Adapters that the group serves."},
				{Name: "members", Kind: inifile.Integer, Unit: "hosts", Required: true, Min: 1, Max: maxMembers, Help: "Number of hosts, all of one fabric domain."},
				{Name: "data_centre", Kind: inifile.Name, Required: true, Help: "Data centre of the hosts."},
				{Name: "cold_limit", Kind: inifile.Integer, Unit: "requests", Required: true, Min: 1, Max: maxLimit, Help: "Most requests in flight at a newly started group, over all entry daemons."},
				{Name: "warm_limit", Kind: inifile.Integer, Unit: "requests", Required: true, Min: 1, Max: maxLimit, Help: "Most requests in flight at a warm group, over all entry daemons; at least `cold_limit`."},
				{Name: "role", Kind: inifile.Choice, Default: "serve", Choices: []string{"serve", "prefill", "decode"}, Help: "Role of the group's engines."},
			},
		},
		{
			Name: "service", Named: true, Help: "A plain service. It needs at least one replica.",
			Keys: []inifile.Key{
				{Name: "once", Kind: inifile.Routes, Help: "Methods and path prefixes of requests that may not be repeated. They require an `Idempotency-Key`."},
				{Name: "lookup", Kind: inifile.Path, Help: "Path that tells whether a key was executed; `{key}` stands for the key as the service gets it, `ACCOUNT:KEY`. It resolves unknown outcomes."},
				{Name: "cold_limit", Kind: inifile.Integer, Unit: "requests", Required: true, Min: 1, Max: maxLimit, Help: "Most requests in flight at a newly started replica, over all entry daemons."},
				{Name: "warm_limit", Kind: inifile.Integer, Unit: "requests", Required: true, Min: 1, Max: maxLimit, Help: "Most requests in flight at a warm replica, over all entry daemons; at least `cold_limit`."},
				{Name: "labels", Kind: inifile.Labels, Help: "Labels for the operators' own use."},
			},
		},
		{
			Name: "replica", Named: true, NamePlaceholder: "SERVICE/NAME", Help: "One replica of a plain service.",
			Keys: []inifile.Key{
				{Name: "address", Kind: inifile.Address, Required: true, Help: "Address of the replica."},
				{Name: "data_centre", Kind: inifile.Name, Required: true, Help: "Data centre of the replica."},
			},
		},
		{
			Name: "preset", Named: true, Required: true,
			Help: "A preset. Exactly one is in force at any time. Keys that are not set leave the declared values in force.",
			Keys: []inifile.Key{
				{Name: "weights", Kind: inifile.Pairs, Unit: "shares", Min: 1, Max: maxWeight, Help: "Weights of accounts while the preset is in force."},
				{Name: "concurrency", Kind: inifile.Pairs, Unit: "requests", Max: maxConcurrency, Help: "Concurrency limits of accounts while the preset is in force."},
				{Name: "idle_groups", Kind: inifile.Names, Help: "Groups that take no new work while the preset is in force."},
				{Name: "queue_time", Kind: inifile.Duration, DefaultNote: "`30s`", Min: int64(minQueueTime), Max: int64(maxQueueTime), Help: "Longest time that a request waits in the queue."},
			},
		},
	},
}
