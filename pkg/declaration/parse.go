package declaration

import (
	"cmp"
	"path/filepath"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/inifile"
)

// roleServe is the role of a group that declares none. In documents it is the
// empty role.
const roleServe = "serve"

// ParseFile reads and checks declarations. The error is of type
// inifile.Problems and holds all faults.
func ParseFile(path string) (state.Document, error) {
	file, err := Table.ParseFile(path)
	return build(path, file, err)
}

// Parse reads and checks declarations from the content of a file with the
// given name. The error is of type inifile.Problems and holds all faults.
func Parse(name string, content []byte) (state.Document, error) {
	file, err := Table.Parse(name, filepath.Dir(name), content)
	return build(name, file, err)
}

// build also checks references when single values are at fault, so that all
// faults are reported at once.
func build(name string, file *inifile.File, parseErr error) (state.Document, error) {
	if file == nil {
		return state.Document{}, parseErr
	}
	var problems inifile.Problems
	errors.As(parseErr, &problems)
	doc, orphans := document(file)
	for _, p := range append(orphans, Check(doc)...) {
		p.File = name
		if !reported(problems, p) {
			problems = append(problems, p)
		}
	}
	if err := problems.Err(); err != nil {
		return state.Document{}, err
	}
	return doc, nil
}

// reported is whether a fault of the same key is known already, or the section
// is missing altogether.
func reported(problems inifile.Problems, p inifile.Problem) bool {
	return slices.ContainsFunc(problems, func(other inifile.Problem) bool {
		return other.Section == p.Section && other.Key == p.Key
	})
}

func document(file *inifile.File) (state.Document, inifile.Problems) {
	var doc state.Document
	for _, in := range file.All("account") {
		doc.Accounts = append(doc.Accounts, state.AccountSpec{
			Name: state.AccountID(in.Name), KeyHash: in.Text("key_sha256"),
			Weight: int(in.Int("weight")), Concurrency: int(in.Int("concurrency")),
		})
	}
	for _, in := range file.All("data_centre") {
		doc.DataCentres = append(doc.DataCentres, state.DataCentreSpec{Name: state.DataCentre(in.Name), Region: in.Text("region"), WeightStoreRate: in.Int("weight_rate")})
	}
	for _, in := range file.All("model") {
		doc.Models = append(doc.Models, state.ModelSpec{
			Name: in.Name, Versions: in.List("versions"), Adapters: in.List("adapters"), WeightBytes: in.Int("weight_bytes"),
		})
	}
	for _, in := range file.All("group") {
		doc.Groups = append(doc.Groups, group(in))
	}
	for _, in := range file.All("service") {
		doc.Services = append(doc.Services, service(in))
	}
	problems := addReplicas(&doc, file)
	for _, in := range file.All("preset") {
		doc.Presets = append(doc.Presets, preset(in))
	}
	sortDocument(&doc)
	return doc, problems
}

func group(in *inifile.Instance) state.GroupSpec {
	spec := state.GroupSpec{
		Name: state.GroupID(in.Name), Model: in.Text("model"), Version: in.Text("version"), Adapters: in.List("adapters"),
		Members: int(in.Int("members")), DataCentre: state.DataCentre(in.Text("data_centre")),
		ColdLimit: int(in.Int("cold_limit")), WarmLimit: int(in.Int("warm_limit")), Role: in.Text("role"),
	}
	if spec.Role == roleServe {
		spec.Role = ""
	}
	return spec
}

func service(in *inifile.Instance) state.ServiceSpec {
	spec := state.ServiceSpec{
		Name: in.Name, LookupPath: in.Text("lookup"),
		ColdLimit: int(in.Int("cold_limit")), WarmLimit: int(in.Int("warm_limit")),
	}
	for _, route := range in.List("once") {
		method, path, _ := strings.Cut(route, " ")
		spec.AtMostOnceRoutes = append(spec.AtMostOnceRoutes, state.ServiceRoute{Method: method, Path: path})
	}
	for _, pair := range in.Pairs("labels") {
		if spec.Labels == nil {
			spec.Labels = map[string]string{}
		}
		spec.Labels[pair.Name] = pair.Text
	}
	return spec
}

// addReplicas gives the replicas to their services and returns those that have
// none.
func addReplicas(doc *state.Document, file *inifile.File) inifile.Problems {
	var problems inifile.Problems
	for _, in := range file.All("replica") {
		owner, name, found := strings.Cut(in.Name, "/")
		i := slices.IndexFunc(doc.Services, func(s state.ServiceSpec) bool { return s.Name == owner })
		if i < 0 || !found {
			problems = append(problems, inifile.Problem{
				Section: in.Header(), Message: "names no declared service", Allowed: "[replica SERVICE/NAME] with SERVICE one of " + serviceNames(doc),
			})
			continue
		}
		doc.Services[i].Replicas = append(doc.Services[i].Replicas, state.ServiceReplica{
			Name: name, Address: in.Text("address"), DataCentre: state.DataCentre(in.Text("data_centre")),
		})
	}
	return problems
}

func preset(in *inifile.Instance) state.PresetSpec {
	spec := state.PresetSpec{Name: in.Name, MaxQueueTime: in.Duration("queue_time")}
	spec.Weights = accountValues(in.Pairs("weights"))
	spec.Concurrency = accountValues(in.Pairs("concurrency"))
	for _, g := range in.List("idle_groups") {
		spec.DisabledGroups = append(spec.DisabledGroups, state.GroupID(g))
	}
	return spec
}

func accountValues(pairs []inifile.Pair) []state.AccountValue {
	var values []state.AccountValue
	for _, p := range pairs {
		values = append(values, state.AccountValue{Account: state.AccountID(p.Name), Value: p.Int()})
	}
	slices.SortFunc(values, func(a, b state.AccountValue) int { return cmp.Compare(a.Account, b.Account) })
	return values
}

// sortDocument puts every list without an order of its own in order of name,
// so that the order of a file has no effect. Presets keep their order, because
// the first one is put in force with the first configuration.
func sortDocument(doc *state.Document) {
	slices.SortFunc(doc.Accounts, func(a, b state.AccountSpec) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(doc.DataCentres, func(a, b state.DataCentreSpec) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(doc.Models, func(a, b state.ModelSpec) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(doc.Groups, func(a, b state.GroupSpec) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(doc.Services, func(a, b state.ServiceSpec) int { return cmp.Compare(a.Name, b.Name) })
	for i := range doc.Services {
		slices.SortFunc(doc.Services[i].Replicas, func(a, b state.ServiceReplica) int { return cmp.Compare(a.Name, b.Name) })
	}
	for i := range doc.Presets {
		slices.Sort(doc.Presets[i].DisabledGroups)
	}
}
