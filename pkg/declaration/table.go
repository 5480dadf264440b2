// Package declaration reads the INI files in which operators declare client
// accounts, data centres, models, replica groups, plain services and presets.
// It parses, checks, formats and compares declarations.
package declaration

import (
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/inifile"
)

const (
	// maxWeight bounds the weight of an account in shares: beside an account with
	// weight 1000, one with weight 1 still gets about one request in 1000.
	maxWeight = 1000
	// maxConcurrency bounds the concurrency limit of an account, in requests.
	maxConcurrency = 100_000
	// maxMembers bounds the size of a replica group, in hosts.
	maxMembers = 64
	// maxLimit bounds the cold and warm limits of a target, in requests.
	maxLimit = 100_000
	// maxWeightBytes bounds the weights of a model in bytes and the rate of the
	// weight store in bytes a second.
	maxWeightBytes = 1 << 50
	// minQueueTime and maxQueueTime bound the time that a request may wait in the
	// queue.
	minQueueTime = 100 * time.Millisecond
	maxQueueTime = 30 * time.Second
)

// Table describes the declarations.
var Table = inifile.Table{
	Title: "Sections",
	Help:  "The order of sections matters only for presets: the first configuration puts the first preset in force.",
	Sections: []inifile.Section{
		{
			Name: "account", Named: true, Required: true, Help: "A client account.",
			Keys: []inifile.Key{
				{Name: "key_sha256", Kind: inifile.Hash, Required: true, Help: "SHA-256 of the account's key. `apricotgrade hash` prints it; the key itself is not declared."},
				{Name: "weight", Kind: inifile.Integer, Unit: "shares", Default: "1", Min: 1, Max: maxWeight, Help: "Share of the account relative to other accounts."},
				{Name: "concurrency", Kind: inifile.Integer, Unit: "requests", Default: "0", Max: maxConcurrency, Help: "Maximum number of requests in flight across all entry daemons; 0 means no limit."},
			},
		},
		{
			Name: "data_centre", Named: true, Required: true, Help: "A data centre.",
			Keys: []inifile.Key{
				{Name: "region", Kind: inifile.Name, Help: "Region of the data centre. All data centres without a region belong to the same region."},
				{Name: "weight_rate", Kind: inifile.Integer, Unit: "bytes a second", Default: "0", Max: maxWeightBytes, Help: "Rate at which the weight store delivers weights to the data centre. Loads are paced to this rate; 0 means that they are not paced."},
			},
		},
		{
			Name: "model", Named: true, Help: "A model.",
			Keys: []inifile.Key{
				{Name: "versions", Kind: inifile.Names, Help: "Versions of the model."},
				{Name: "adapters", Kind: inifile.Names, Help: "Adapters of the model."},
				{Name: "weight_bytes", Kind: inifile.Integer, Unit: "bytes", Default: "0", Max: maxWeightBytes, Help: "Size of the weights that each member loads. It is used to pace loads from the weight store."},
			},
		},
		{
			Name: "group", Named: true, Help: "A replica group.",
			Keys: []inifile.Key{
				{Name: "model", Kind: inifile.Name, Required: true, Help: "Model that the group serves."},
				{Name: "version", Kind: inifile.Name, DefaultNote: "required if the model has versions", Help: "Version that the group serves."},
				{Name: "adapters", Kind: inifile.Names, Help: "Adapters that the group serves."},
				{Name: "members", Kind: inifile.Integer, Unit: "hosts", Required: true, Min: 1, Max: maxMembers, Help: "Number of hosts, all in one fabric domain."},
				{Name: "data_centre", Kind: inifile.Name, Required: true, Help: "Data centre of the hosts."},
				{Name: "cold_limit", Kind: inifile.Integer, Unit: "requests", Required: true, Min: 1, Max: maxLimit, Help: "Maximum number of requests in flight at a newly started group, across all entry daemons."},
				{Name: "warm_limit", Kind: inifile.Integer, Unit: "requests", Required: true, Min: 1, Max: maxLimit, Help: "Maximum number of requests in flight at a warm group, across all entry daemons; at least `cold_limit`."},
				{Name: "role", Kind: inifile.Choice, Default: "serve", Choices: []string{"serve", "prefill", "decode"}, Help: "Role of the group's engines."},
			},
		},
		{
			Name: "service", Named: true, Help: "A plain service. It needs at least one replica.",
			Keys: []inifile.Key{
				{Name: "once", Kind: inifile.Routes, Help: "Methods and path prefixes of requests that must not be executed twice. These requests require an `Idempotency-Key`."},
				{Name: "lookup", Kind: inifile.Path, Help: "Path at which the service reports whether a key was executed. `{key}` stands for the key as the service receives it, `ACCOUNT:KEY`. It is used to resolve unknown outcomes."},
				{Name: "cold_limit", Kind: inifile.Integer, Unit: "requests", Required: true, Min: 1, Max: maxLimit, Help: "Maximum number of requests in flight at a newly started replica, across all entry daemons."},
				{Name: "warm_limit", Kind: inifile.Integer, Unit: "requests", Required: true, Min: 1, Max: maxLimit, Help: "Maximum number of requests in flight at a warm replica, across all entry daemons; at least `cold_limit`."},
				{Name: "labels", Kind: inifile.Labels, Help: "Labels for operators; they have no effect."},
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
			Help: "A preset. Exactly one is in force at any time. Where a key is not set, the declared values stay in force.",
			Keys: []inifile.Key{
				{Name: "weights", Kind: inifile.Pairs, Unit: "shares", Min: 1, Max: maxWeight, Help: "Weights of accounts while the preset is in force."},
				{Name: "concurrency", Kind: inifile.Pairs, Unit: "requests", Max: maxConcurrency, Help: "Concurrency limits of accounts while the preset is in force."},
				{Name: "idle_groups", Kind: inifile.Names, Help: "Groups that receive no new requests while the preset is in force."},
				{Name: "queue_time", Kind: inifile.Duration, DefaultNote: "`30s`", Min: int64(minQueueTime), Max: int64(maxQueueTime), Help: "Maximum time that a request waits in the queue."},
			},
		},
	},
}
