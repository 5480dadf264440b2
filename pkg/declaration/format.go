package declaration

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// block is one section of the formatted document.
type block struct {
	header string
	keys   []entry
}

type entry struct{ key, value string }

// set adds a key unless it has its default.
func (b *block) set(key, value, standard string) {
	if value != standard {
		b.keys = append(b.keys, entry{key, value})
	}
}

func (b *block) number(key string, value, standard int64) {
	b.set(key, strconv.FormatInt(value, 10), strconv.FormatInt(standard, 10))
}

// Format returns the document as declarations. Parse reads the same document
// from them. Keys that have their default are left out.
func Format(doc state.Document) string {
	var b strings.Builder
	for i, s := range blocks(doc) {
		if i > 0 {
			b.WriteString("\n")
		}
		fmt.Fprintf(&b, "[%s]\n", s.header)
		for _, e := range s.keys {
			fmt.Fprintf(&b, "%s = %s\n", e.key, e.value)
		}
	}
	return b.String()
}

func blocks(doc state.Document) []block {
	var all []block
	for _, a := range doc.Accounts {
		b := block{header: "account " + string(a.Name)}
		b.set("key_sha256", a.KeyHash, "")
		b.number("weight", int64(a.Weight), 1)
		b.number("concurrency", int64(a.Concurrency), 0)
		all = append(all, b)
	}
	for _, d := range doc.DataCentres {
		b := block{header: "data_centre " + string(d.Name)}
		b.set("region", d.Region, "")
		b.number("weight_rate", d.WeightStoreRate, 0)
		all = append(all, b)
	}
	for _, m := range doc.Models {
		b := block{header: "model " + m.Name}
		b.set("versions", join(m.Versions), "")
		b.set("adapters", join(m.Adapters), "")
		b.number("weight_bytes", m.WeightBytes, 0)
		all = append(all, b)
	}
	for _, g := range doc.Groups {
		all = append(all, groupBlock(g))
	}
	for _, s := range doc.Services {
		all = append(all, serviceBlocks(s)...)
	}
	for _, p := range doc.Presets {
		all = append(all, presetBlock(p))
	}
	return all
}

func groupBlock(g state.GroupSpec) block {
	b := block{header: "group " + string(g.Name)}
	b.set("model", g.Model, "")
	b.set("version", g.Version, "")
	b.set("adapters", join(g.Adapters), "")
	b.number("members", int64(g.Members), 0)
	b.set("data_centre", string(g.DataCentre), "")
	b.number("cold_limit", int64(g.ColdLimit), 0)
	b.number("warm_limit", int64(g.WarmLimit), 0)
	if g.Role != roleServe {
		b.set("role", g.Role, "")
	}
	return b
}

func serviceBlocks(s state.ServiceSpec) []block {
	b := block{header: "service " + s.Name}
	routes := make([]string, 0, len(s.AtMostOnceRoutes))
	for _, r := range s.AtMostOnceRoutes {
		routes = append(routes, r.Method+" "+r.Path)
	}
	b.set("once", join(routes), "")
	b.set("lookup", s.LookupPath, "")
	b.number("cold_limit", int64(s.ColdLimit), 0)
	b.number("warm_limit", int64(s.WarmLimit), 0)
	labels := make([]string, 0, len(s.Labels))
	for _, name := range slices.Sorted(maps.Keys(s.Labels)) {
		labels = append(labels, name+":"+s.Labels[name])
	}
	b.set("labels", join(labels), "")
	all := []block{b}
	for _, r := range s.Replicas {
		replica := block{header: "replica " + s.Name + "/" + r.Name}
		replica.set("address", r.Address, "")
		replica.set("data_centre", string(r.DataCentre), "")
		all = append(all, replica)
	}
	return all
}

func presetBlock(p state.PresetSpec) block {
	b := block{header: "preset " + p.Name}
	b.set("weights", joinValues(p.Weights), "")
	b.set("concurrency", joinValues(p.Concurrency), "")
	groups := make([]string, 0, len(p.DisabledGroups))
	for _, g := range p.DisabledGroups {
		groups = append(groups, string(g))
	}
	b.set("idle_groups", join(groups), "")
	b.set("queue_time", p.MaxQueueTime.String(), "0s")
	return b
}

func join(items []string) string { return strings.Join(items, ", ") }

func joinValues(values []state.AccountValue) string {
	items := make([]string, 0, len(values))
	for _, v := range values {
		items = append(items, string(v.Account)+":"+strconv.Itoa(v.Value))
	}
	return join(items)
}
