package declaration

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// formattedSection is one section of a formatted document.
type formattedSection struct {
	header  string
	entries []entry
}

type entry struct{ key, value string }

// add appends a key unless the value is the default.
func (b *formattedSection) add(key, value, defaultValue string) {
	if value != defaultValue {
		b.entries = append(b.entries, entry{key, value})
	}
}

func (b *formattedSection) addInt(key string, value, defaultValue int64) {
	b.add(key, strconv.FormatInt(value, 10), strconv.FormatInt(defaultValue, 10))
}

// Format returns the document as declarations, from which Parse reads the same
// document. It omits keys that have their default value.
func Format(doc state.Document) string {
	var b strings.Builder
	for i, s := range formatSections(doc) {
		if i > 0 {
			b.WriteString("\n")
		}
		fmt.Fprintf(&b, "[%s]\n", s.header)
		for _, e := range s.entries {
			fmt.Fprintf(&b, "%s = %s\n", e.key, e.value)
		}
	}
	return b.String()
}

func formatSections(doc state.Document) []formattedSection {
	var sections []formattedSection
	for _, a := range doc.Accounts {
		b := formattedSection{header: "account " + string(a.Name)}
		b.add("key_sha256", a.KeyHash, "")
		b.addInt("weight", int64(a.Weight), 1)
		b.addInt("concurrency", int64(a.Concurrency), 0)
		sections = append(sections, b)
	}
	for _, d := range doc.DataCentres {
		b := formattedSection{header: "data_centre " + string(d.Name)}
		b.add("region", d.Region, "")
		b.addInt("weight_rate", d.WeightStoreRate, 0)
		sections = append(sections, b)
	}
	for _, m := range doc.Models {
		b := formattedSection{header: "model " + m.Name}
		b.add("versions", join(m.Versions), "")
		b.add("adapters", join(m.Adapters), "")
		b.addInt("weight_bytes", m.WeightBytes, 0)
		sections = append(sections, b)
	}
	for _, g := range doc.Groups {
		sections = append(sections, formatGroup(g))
	}
	for _, s := range doc.Services {
		sections = append(sections, formatService(s)...)
	}
	for _, p := range doc.Presets {
		sections = append(sections, formatPreset(p))
	}
	return sections
}

func formatGroup(g state.GroupSpec) formattedSection {
	b := formattedSection{header: "group " + string(g.Name)}
	b.add("model", g.Model, "")
	b.add("version", g.Version, "")
	b.add("adapters", join(g.Adapters), "")
	b.addInt("members", int64(g.Members), 0)
	b.add("data_centre", string(g.DataCentre), "")
	b.addInt("cold_limit", int64(g.ColdLimit), 0)
	b.addInt("warm_limit", int64(g.WarmLimit), 0)
	if g.Role != roleServe {
		b.add("role", g.Role, "")
	}
	return b
}

func formatService(s state.ServiceSpec) []formattedSection {
	b := formattedSection{header: "service " + s.Name}
	routes := make([]string, 0, len(s.AtMostOnceRoutes))
	for _, r := range s.AtMostOnceRoutes {
		routes = append(routes, r.Method+" "+r.Path)
	}
	b.add("once", join(routes), "")
	b.add("lookup", s.LookupPath, "")
	b.addInt("cold_limit", int64(s.ColdLimit), 0)
	b.addInt("warm_limit", int64(s.WarmLimit), 0)
	labels := make([]string, 0, len(s.Labels))
	for _, name := range slices.Sorted(maps.Keys(s.Labels)) {
		labels = append(labels, name+":"+s.Labels[name])
	}
	b.add("labels", join(labels), "")
	sections := []formattedSection{b}
	for _, r := range s.Replicas {
		replica := formattedSection{header: "replica " + s.Name + "/" + r.Name}
		replica.add("address", r.Address, "")
		replica.add("data_centre", string(r.DataCentre), "")
		sections = append(sections, replica)
	}
	return sections
}

func formatPreset(p state.PresetSpec) formattedSection {
	b := formattedSection{header: "preset " + p.Name}
	b.add("weights", joinAccountValues(p.Weights), "")
	b.add("concurrency", joinAccountValues(p.Concurrency), "")
	groups := make([]string, 0, len(p.DisabledGroups))
	for _, g := range p.DisabledGroups {
		groups = append(groups, string(g))
	}
	b.add("idle_groups", join(groups), "")
	b.add("queue_time", p.MaxQueueTime.String(), "0s")
	return b
}

func join(items []string) string { return strings.Join(items, ", ") }

func joinAccountValues(values []state.AccountValue) string {
	items := make([]string, 0, len(values))
	for _, v := range values {
		items = append(items, string(v.Account)+":"+strconv.Itoa(v.Value))
	}
	return join(items)
}
