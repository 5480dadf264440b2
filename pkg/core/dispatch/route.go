package dispatch

import (
	"cmp"
	"slices"
	"strings"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// routes finds routes and accounts of one configuration.
type routes struct {
	version uint64
	// byHost holds the routes of each host name, longest path prefix first.
	byHost   map[string][]*state.Route
	accounts map[[32]byte]*state.ManagedAccount
	services map[string]*state.ServiceProfile
}

func newRoutes(c *state.PlatformConfig) *routes {
	r := &routes{
		version: c.Version, byHost: map[string][]*state.Route{},
		accounts: map[[32]byte]*state.ManagedAccount{}, services: map[string]*state.ServiceProfile{},
	}
	for i := range c.Routes {
		route := &c.Routes[i]
		host := strings.ToLower(route.HostName)
		r.byHost[host] = append(r.byHost[host], route)
	}
	for _, list := range r.byHost {
		slices.SortStableFunc(list, func(a, b *state.Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	for i := range c.Accounts {
		for _, hash := range c.Accounts[i].KeyHashes {
			r.accounts[hash] = &c.Accounts[i]
		}
	}
	for i := range c.Services {
		r.services[c.Services[i].Name] = &c.Services[i]
	}
	return r
}

// find returns the route with the longest prefix of the path, or nil.
func (r *routes) find(host, path string) *state.Route {
	for _, route := range r.byHost[host] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// priority returns the rank of a request: that of its client account goes before
// that of its route.
func (r *routes) priority(req *state.Request) int {
	if a := r.accounts[req.Arrival.Routed.KeyHash]; a != nil && a.Priority >= 0 && req.Account == a.Name {
		return a.Priority
	}
	return req.Route.Priority
}

// chooseService draws a service by the weights of the route. The draw is a
// number in [0, 1).
func chooseService(route *state.Route, draw float64) string {
	total := 0
	for _, s := range route.TrafficSplit {
		total += s.Weight
	}
	at := int(draw * float64(total))
	for _, s := range route.TrafficSplit {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return ""
}
