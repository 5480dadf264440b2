package scenario

import (
	"fmt"
	"net/http"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// orderExecutionTime is the time from the start of an order to its answer.
const orderExecutionTime = 20 * time.Millisecond

// ServiceMode is the behaviour of a service replica.
type ServiceMode uint8

// Service modes.
const (
	// ServiceHealthy executes an order and answers.
	ServiceHealthy ServiceMode = iota
	// ServiceResets executes an order and resets the connection without an answer.
	ServiceResets
	// ServiceSilent executes an order and sends nothing on the connection.
	ServiceSilent
)

// Service is one replica of the order service. All replicas share the executed orders.
type Service struct {
	ID         state.TargetID
	DataCentre state.DataCentre
	Alive      bool
	Mode       ServiceMode
	Load       state.LoadAnswer
}

func (sim *Simulation) createServices() {
	for i := range sim.Options.DataCentres {
		sim.Services = append(sim.Services, &Service{
			ID:         state.TargetID(fmt.Sprintf("%s/r%d", ServiceName, i+1)),
			DataCentre: dataCentre(i), Alive: true,
			Load: state.LoadAnswer{Incarnation: 1, Completed: 1 << 20},
		})
	}
}

// Service returns a replica of the order service by target ID, which is also its
// address, or nil.
func (sim *Simulation) Service(id state.TargetID) *Service {
	for _, s := range sim.Services {
		if s.ID == id {
			return s
		}
	}
	return nil
}

// fetchLookup answers the lookup of an order by its idempotency key.
func (sim *Simulation) fetchLookup(n *Node, fetch state.FetchLookup) {
	result := state.LookupResult{Account: fetch.Account, IdempotencyKey: fetch.IdempotencyKey}
	svc := sim.Service(state.TargetID(fetch.Address))
	reachable := svc != nil && svc.Alive && sim.Network.CanReach(string(n.ID), fetch.Address) && sim.Network.CanReach(fetch.Address, string(n.ID))
	if !reachable {
		n.feedAfter(dialTimeout, result)
		return
	}
	latency := sim.latency(n.DataCentre, svc.DataCentre)
	incarnation := n.Incarnation
	sim.ScheduleAfter(latency, func() {
		result.OK = true
		key := string(fetch.Account) + "/" + fetch.IdempotencyKey
		if body, found := sim.Checks.orderBodies[key]; found {
			result.Found, result.Answer = true, orderAnswer(key, body)
		}
		if n.Incarnation == incarnation {
			n.feedAfter(latency, result)
		}
	})
}

// orderAnswer returns the answer of the order service. It depends on the key and the
// body alone.
func orderAnswer(key, body string) *state.Answer {
	return &state.Answer{Status: http.StatusOK, ContentType: "application/json", Body: []byte(key + " " + body)}
}
