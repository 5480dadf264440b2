package declaration

import (
	"slices"
	"strconv"
	"strings"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/inifile"
)

// keyPlaceholder stands for the key in the lookup path of a service.
const keyPlaceholder = "{key}"

// Check returns the faults between the parts of a document: references to
// something that is not declared, and limits that contradict each other.
func Check(doc state.Document) inifile.Problems {
	c := checker{doc: doc}
	c.accounts()
	c.groups()
	c.services()
	c.presets()
	return c.problems
}

type checker struct {
	doc      state.Document
	problems inifile.Problems
}

func (c *checker) report(section, key, value, message, allowed string) {
	c.problems = append(c.problems, inifile.Problem{Section: section, Key: key, Value: value, Message: message, Allowed: allowed})
}

// one reports a value that is not among the declared names.
func (c *checker) one(section, key, value, what string, declared []string) {
	if value != "" && !slices.Contains(declared, value) {
		c.report(section, key, value, "names no declared "+what, oneOf(declared))
	}
}

func oneOf(names []string) string {
	if len(names) == 0 {
		return "nothing, as none is declared"
	}
	return "one of " + strings.Join(names, ", ")
}

func (c *checker) accounts() {
	owner := map[string]state.AccountID{}
	for _, a := range c.doc.Accounts {
		if other, ok := owner[a.KeyHash]; ok && a.KeyHash != "" {
			c.report("account "+string(a.Name), "key_sha256", a.KeyHash, "is the key of account "+string(other), "a key of its own for each account")
		}
		owner[a.KeyHash] = a.Name
	}
}

func (c *checker) groups() {
	models := names(c.doc.Models, func(m state.ModelSpec) string { return m.Name })
	dcs := c.dataCentres()
	for _, g := range c.doc.Groups {
		section := "group " + string(g.Name)
		c.one(section, "model", g.Model, "model", models)
		c.one(section, "data_centre", string(g.DataCentre), "data centre", dcs)
		c.limits(section, g.ColdLimit, g.WarmLimit)
		i := slices.Index(models, g.Model)
		if i < 0 {
			continue
		}
		model := c.doc.Models[i]
		c.one(section, "version", g.Version, "version of model "+g.Model, model.Versions)
		if g.Version == "" && len(model.Versions) > 0 {
			c.report(section, "version", "", "key is missing", oneOf(model.Versions))
		}
		for _, a := range g.Adapters {
			c.one(section, "adapters", a, "adapter of model "+g.Model, model.Adapters)
		}
	}
}

func (c *checker) limits(section string, cold, warm int) {
	if cold > warm && warm > 0 {
		c.report(section, "warm_limit", strconv.Itoa(warm), "is below cold_limit", "at least "+strconv.Itoa(cold))
	}
}

func (c *checker) services() {
	dcs := c.dataCentres()
	owner := map[string]string{}
	for _, s := range c.doc.Services {
		section := "service " + s.Name
		c.limits(section, s.ColdLimit, s.WarmLimit)
		if len(s.Replicas) == 0 {
			c.report(section, "", "", "has no replica", "at least one [replica "+s.Name+"/NAME]")
		}
		if s.LookupPath != "" && !strings.Contains(s.LookupPath, keyPlaceholder) {
			c.report(section, "lookup", s.LookupPath, "holds no "+keyPlaceholder, "a path with "+keyPlaceholder+" in place of the key")
		}
		for _, r := range s.Replicas {
			section := "replica " + s.Name + "/" + r.Name
			c.one(section, "data_centre", string(r.DataCentre), "data centre", dcs)
			if other, ok := owner[r.Address]; ok && r.Address != "" {
				c.report(section, "address", r.Address, "is the address of "+other, "an address of its own for each replica")
			}
			owner[r.Address] = section
		}
	}
}

func (c *checker) presets() {
	accounts := names(c.doc.Accounts, func(a state.AccountSpec) string { return string(a.Name) })
	groups := names(c.doc.Groups, func(g state.GroupSpec) string { return string(g.Name) })
	for _, p := range c.doc.Presets {
		section := "preset " + p.Name
		for _, v := range p.Weights {
			c.one(section, "weights", string(v.Account), "account", accounts)
		}
		for _, v := range p.Concurrency {
			c.one(section, "concurrency", string(v.Account), "account", accounts)
		}
		for _, g := range p.DisabledGroups {
			c.one(section, "idle_groups", string(g), "group", groups)
		}
	}
}

func (c *checker) dataCentres() []string {
	return names(c.doc.DataCentres, func(d state.DataCentreSpec) string { return string(d.Name) })
}

func serviceNames(doc *state.Document) string {
	list := names(doc.Services, func(s state.ServiceSpec) string { return s.Name })
	if len(list) == 0 {
		return "the declared services, of which there are none"
	}
	return strings.Join(list, ", ")
}

func names[T any](items []T, name func(T) string) []string {
	list := make([]string, 0, len(items))
	for _, item := range items {
		list = append(list, name(item))
	}
	return list
}
