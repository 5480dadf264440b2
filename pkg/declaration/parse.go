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

// roleServe is the default role of a group. Documents represent it by the empty
// role.
const roleServe = "serve"

// ParseFile reads and checks a file of declarations. The error is of type
// inifile.Problems and holds all faults.
func ParseFile(path string) (state.Document, error) {
	file, err := Table.ParseFile(path)
	return buildAndCheck(path, file, err)
}

// Parse reads and checks the content of a file of declarations; name identifies it
// in problems. The error is of type inifile.Problems and holds all faults.
func Parse(name string, content []byte) (state.Document, error) {
	file, err := Table.Parse(name, filepath.Dir(name), content)
	return buildAndCheck(name, file, err)
}

// buildAndCheck builds the document of a parsed file and checks its references. It
// does so even if single values are invalid, so that all faults are reported at
// once.
func buildAndCheck(name string, file *inifile.File, parseErr error) (state.Document, error) {
	if file == nil {
		return state.Document{}, parseErr
	}
	var problems inifile.Problems
	errors.As(parseErr, &problems)
	doc, replicaProblems := buildDocument(file)
	for _, p := range append(replicaProblems, Check(doc)...) {
		p.File = name
		if !isReported(problems, p) {
			problems = append(problems, p)
		}
	}
	if err := problems.Err(); err != nil {
		return state.Document{}, err
	}
	return doc, nil
}

// isReported reports whether the problems already contain one for the same section
// and key.
func isReported(problems inifile.Problems, p inifile.Problem) bool {
	return slices.ContainsFunc(problems, func(other inifile.Problem) bool {
		return other.Section == p.Section && other.Key == p.Key
	})
}

func buildDocument(file *inifile.File) (state.Document, inifile.Problems) {
	var doc state.Document
	for _, section := range file.Sections("account") {
		doc.Accounts = append(doc.Accounts, state.AccountSpec{
			Name: state.AccountID(section.Name), KeyHash: section.Text("key_sha256"),
			Weight: int(section.Int("weight")), Concurrency: int(section.Int("concurrency")),
		})
	}
	for _, section := range file.Sections("data_centre") {
		doc.DataCentres = append(doc.DataCentres, state.DataCentreSpec{Name: state.DataCentre(section.Name), Region: section.Text("region"), WeightStoreRate: section.Int("weight_rate")})
	}
	for _, section := range file.Sections("model") {
		doc.Models = append(doc.Models, state.ModelSpec{
			Name: section.Name, Versions: section.List("versions"), Adapters: section.List("adapters"), WeightBytes: section.Int("weight_bytes"),
		})
	}
	for _, section := range file.Sections("group") {
		doc.Groups = append(doc.Groups, groupSpec(section))
	}
	for _, section := range file.Sections("service") {
		doc.Services = append(doc.Services, serviceSpec(section))
	}
	problems := addReplicas(&doc, file)
	for _, section := range file.Sections("preset") {
		doc.Presets = append(doc.Presets, presetSpec(section))
	}
	sortDocument(&doc)
	return doc, problems
}

func groupSpec(section *inifile.ParsedSection) state.GroupSpec {
	spec := state.GroupSpec{
		Name: state.GroupID(section.Name), Model: section.Text("model"), Version: section.Text("version"), Adapters: section.List("adapters"),
		Members: int(section.Int("members")), DataCentre: state.DataCentre(section.Text("data_centre")),
		ColdLimit: int(section.Int("cold_limit")), WarmLimit: int(section.Int("warm_limit")), Role: section.Text("role"),
	}
	if spec.Role == roleServe {
		spec.Role = ""
	}
	return spec
}

func serviceSpec(section *inifile.ParsedSection) state.ServiceSpec {
	spec := state.ServiceSpec{
		Name: section.Name, LookupPath: section.Text("lookup"),
		ColdLimit: int(section.Int("cold_limit")), WarmLimit: int(section.Int("warm_limit")),
	}
	for _, route := range section.List("once") {
		method, path, _ := strings.Cut(route, " ")
		spec.AtMostOnceRoutes = append(spec.AtMostOnceRoutes, state.ServiceRoute{Method: method, Path: path})
	}
	for _, pair := range section.Pairs("labels") {
		if spec.Labels == nil {
			spec.Labels = map[string]string{}
		}
		spec.Labels[pair.Name] = pair.Text
	}
	return spec
}

// addReplicas adds the replicas to their services and returns a problem for each
// replica whose service is not declared.
func addReplicas(doc *state.Document, file *inifile.File) inifile.Problems {
	var problems inifile.Problems
	for _, section := range file.Sections("replica") {
		serviceName, name, found := strings.Cut(section.Name, "/")
		i := slices.IndexFunc(doc.Services, func(s state.ServiceSpec) bool { return s.Name == serviceName })
		if i < 0 || !found {
			problems = append(problems, inifile.Problem{
				Section: section.Header(), Message: "service is not declared", Allowed: "[replica SERVICE/NAME] with SERVICE one of " + serviceNames(doc),
			})
			continue
		}
		doc.Services[i].Replicas = append(doc.Services[i].Replicas, state.ServiceReplica{
			Name: name, Address: section.Text("address"), DataCentre: state.DataCentre(section.Text("data_centre")),
		})
	}
	return problems
}

func presetSpec(section *inifile.ParsedSection) state.PresetSpec {
	spec := state.PresetSpec{Name: section.Name, MaxQueueTime: section.Duration("queue_time")}
	spec.Weights = accountValues(section.Pairs("weights"))
	spec.Concurrency = accountValues(section.Pairs("concurrency"))
	for _, g := range section.List("idle_groups") {
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

// sortDocument sorts by name every list whose order has no meaning, so that the
// order of a file has no effect. Presets keep their order, because the first
// configuration puts the first preset in force.
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
