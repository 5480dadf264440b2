package scenario

import (
	"fmt"
	"net/http"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// serviceTime is how long an order takes.
const serviceTime = 20 * time.Millisecond

// ServiceMode is a fault of a plain service.
type ServiceMode uint8

// Service modes.
const (
	ServiceGood ServiceMode = iota
	// ServiceResets executes an order and resets the connection.
	ServiceResets
	// ServiceSilent executes an order and answers nothing.
	ServiceSilent
)

// Service is one replica of the order service. All replicas share the orders.
type Service struct {
	ID         state.TargetID
	DataCentre state.DataCentre
	Alive      bool
	Mode       ServiceMode
	Load       state.LoadAnswer
}

func (w *World) buildServices() {
	for i := range w.Options.DataCentres {
		w.Services = append(w.Services, &Service{
			ID:         state.TargetID(fmt.Sprintf("%s/r%d", ServiceName, i+1)),
			DataCentre: dataCentre(i), Alive: true,
			Load: state.LoadAnswer{Incarnation: 1, Completed: 1 << 20},
		})
	}
}

// Service returns a replica of the order service by target or address, or nil.
func (w *World) Service(id state.TargetID) *Service {
	for _, s := range w.Services {
		if s.ID == id {
			return s
		}
	}
	return nil
}

// lookup answers a node's question for an order.
func (w *World) lookup(n *Node, f state.FetchLookup) {
	result := state.LookupResult{Account: f.Account, IdempotencyKey: f.IdempotencyKey}
	svc := w.Service(state.TargetID(f.Address))
	reachable := svc != nil && svc.Alive && w.Network.Passes(string(n.ID), f.Address) && w.Network.Passes(f.Address, string(n.ID))
	if !reachable {
		n.later(dialTimeout, result)
		return
	}
	way := w.delay(n.DataCentre, svc.DataCentre)
	life := n.Starts
	w.After(way, func() {
		result.OK = true
		key := string(f.Account) + "/" + f.IdempotencyKey
		if body, found := w.Checks.orders[key]; found {
			result.Found, result.Answer = true, orderAnswer(key, body)
		}
		if n.Starts == life {
			n.later(way, result)
		}
	})
}

// orderAnswer is the answer of the order service, which never changes.
func orderAnswer(key, body string) *state.Answer {
	return &state.Answer{Status: http.StatusOK, ContentType: "application/json", Body: []byte(key + " " + body)}
}
