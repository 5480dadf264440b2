package scenario

import (
	"fmt"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// Names of the model and the service that a simulation declares.
const (
	ModelName   = "draft"
	ServiceName = "orders"
)

// accountID returns the name of the client account with index i.
func accountID(i int) state.AccountID { return state.AccountID(fmt.Sprintf("a%d", i+1)) }

// initialDocument returns the declarations of the first configuration.
func (sim *Simulation) initialDocument() state.Document {
	opts := sim.Options
	doc := state.Document{
		Models: []state.ModelSpec{{Name: ModelName, Versions: []string{"1"}, WeightBytes: 1 << 30}},
		Presets: []state.PresetSpec{
			{Name: "ordinary"},
			{Name: "peak", Concurrency: []state.AccountValue{{Account: accountID(0), Value: 2}}},
			{Name: "maintenance", MaxQueueTime: 5 * time.Second},
		},
	}
	for i := range opts.Accounts {
		doc.Accounts = append(doc.Accounts, state.AccountSpec{Name: accountID(i), Weight: 1})
	}
	for i := range opts.DataCentres {
		doc.DataCentres = append(doc.DataCentres, state.DataCentreSpec{Name: dataCentre(i)})
	}
	for i := range opts.Groups {
		doc.Groups = append(doc.Groups, state.GroupSpec{
			Name: state.GroupID(fmt.Sprintf("g%d", i+1)), Model: ModelName, Version: "1", Members: opts.Members,
			DataCentre: dataCentre(i % opts.DataCentres), ColdLimit: opts.ColdLimit, WarmLimit: opts.WarmLimit,
		})
	}
	service := state.ServiceSpec{
		Name: ServiceName, AtMostOnceRoutes: []state.ServiceRoute{{Method: "POST", Path: "/orders"}}, LookupPath: "/orders/{key}",
		ColdLimit: 32, WarmLimit: 64,
	}
	for i, s := range sim.Services {
		service.Replicas = append(service.Replicas, state.ServiceReplica{
			Name: fmt.Sprintf("r%d", i+1), Address: string(s.ID), DataCentre: s.DataCentre,
		})
	}
	doc.Services = append(doc.Services, service)
	return doc
}
