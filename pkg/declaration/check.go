package declaration

import (
	"slices"
	"strconv"
	"strings"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/inifile"
)

// keyPlaceholder stands for the idempotency key in the lookup path of a service.
const keyPlaceholder = "{key}"

// Check returns the faults between the parts of a document: references to
// undeclared objects, values that must be unique, contradictory limits and missing
// replicas.
func Check(doc state.Document) inifile.Problems {
	c := checker{doc: doc}
	c.checkAccounts()
	c.checkGroups()
	c.checkServices()
	c.checkPresets()
	return c.problems
}

type checker struct {
	doc      state.Document
	problems inifile.Problems
}

func (c *checker) report(section, key, value, message, allowed string) {
	c.problems = append(c.problems, inifile.Problem{Section: section, Key: key, Value: value, Message: message, Allowed: allowed})
}

// checkDeclared reports a value that is not among the declared names. It ignores an
// empty value, which is reported as a missing key if the key is required.
func (c *checker) checkDeclared(section, key, value, kind string, declared []string) {
	if value != "" && !slices.Contains(declared, value) {
		c.report(section, key, value, "is not a declared "+kind, allowedNames(declared))
	}
}

func allowedNames(names []string) string {
	if len(names) == 0 {
		return "nothing, because none is declared"
	}
	return "one of " + strings.Join(names, ", ")
}

func (c *checker) checkAccounts() {
	accountByKeyHash := map[string]state.AccountID{}
	for _, a := range c.doc.Accounts {
		if other, ok := accountByKeyHash[a.KeyHash]; ok && a.KeyHash != "" {
			c.report("account "+string(a.Name), "key_sha256", a.KeyHash, "is also the key of account "+string(other), "a different key for each account")
		}
		accountByKeyHash[a.KeyHash] = a.Name
	}
}

func (c *checker) checkGroups() {
	modelNames := namesOf(c.doc.Models, func(m state.ModelSpec) string { return m.Name })
	dataCentreNames := c.dataCentreNames()
	for _, g := range c.doc.Groups {
		section := "group " + string(g.Name)
		c.checkDeclared(section, "model", g.Model, "model", modelNames)
		c.checkDeclared(section, "data_centre", string(g.DataCentre), "data centre", dataCentreNames)
		c.checkLimits(section, g.ColdLimit, g.WarmLimit)
		i := slices.Index(modelNames, g.Model)
		if i < 0 {
			continue
		}
		model := c.doc.Models[i]
		c.checkDeclared(section, "version", g.Version, "version of model "+g.Model, model.Versions)
		if g.Version == "" && len(model.Versions) > 0 {
			c.report(section, "version", "", "key is missing", allowedNames(model.Versions))
		}
		for _, a := range g.Adapters {
			c.checkDeclared(section, "adapters", a, "adapter of model "+g.Model, model.Adapters)
		}
	}
}

func (c *checker) checkLimits(section string, cold, warm int) {
	if cold > warm && warm > 0 {
		c.report(section, "warm_limit", strconv.Itoa(warm), "is below cold_limit", "at least "+strconv.Itoa(cold))
	}
}

func (c *checker) checkServices() {
	dataCentreNames := c.dataCentreNames()
	sectionByAddress := map[string]string{}
	for _, s := range c.doc.Services {
		section := "service " + s.Name
		c.checkLimits(section, s.ColdLimit, s.WarmLimit)
		if len(s.Replicas) == 0 {
			c.report(section, "", "", "has no replica", "at least one [replica "+s.Name+"/NAME]")
		}
		if s.LookupPath != "" && !strings.Contains(s.LookupPath, keyPlaceholder) {
			c.report(section, "lookup", s.LookupPath, "does not contain "+keyPlaceholder, "a path with "+keyPlaceholder+" in place of the key")
		}
		for _, r := range s.Replicas {
			section := "replica " + s.Name + "/" + r.Name
			c.checkDeclared(section, "data_centre", string(r.DataCentre), "data centre", dataCentreNames)
			if other, ok := sectionByAddress[r.Address]; ok && r.Address != "" {
				c.report(section, "address", r.Address, "is also the address of "+other, "a different address for each replica")
			}
			sectionByAddress[r.Address] = section
		}
	}
}

func (c *checker) checkPresets() {
	accountNames := namesOf(c.doc.Accounts, func(a state.AccountSpec) string { return string(a.Name) })
	groupNames := namesOf(c.doc.Groups, func(g state.GroupSpec) string { return string(g.Name) })
	for _, p := range c.doc.Presets {
		section := "preset " + p.Name
		for _, v := range p.Weights {
			c.checkDeclared(section, "weights", string(v.Account), "account", accountNames)
		}
		for _, v := range p.Concurrency {
			c.checkDeclared(section, "concurrency", string(v.Account), "account", accountNames)
		}
		for _, g := range p.DisabledGroups {
			c.checkDeclared(section, "idle_groups", string(g), "group", groupNames)
		}
	}
}

func (c *checker) dataCentreNames() []string {
	return namesOf(c.doc.DataCentres, func(d state.DataCentreSpec) string { return string(d.Name) })
}

func serviceNames(doc *state.Document) string {
	list := namesOf(doc.Services, func(s state.ServiceSpec) string { return s.Name })
	if len(list) == 0 {
		return "the declared services, but none is declared"
	}
	return strings.Join(list, ", ")
}

func namesOf[T any](items []T, name func(T) string) []string {
	list := make([]string, 0, len(items))
	for _, item := range items {
		list = append(list, name(item))
	}
	return list
}
