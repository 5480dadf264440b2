package dispatch

import (
	"cmp"
	"slices"
	"strings"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// configIndex holds the routes, accounts and services of one version of the
// configuration, indexed for lookup.
type configIndex struct {
	version uint64
	// routesByHostName holds the routes of each host name in lower case, longest
	// path prefix first.
	routesByHostName  map[string][]*state.Route
	accountsByKeyHash map[[32]byte]*state.ManagedAccount
	services          map[string]*state.ServiceProfile
}

func newConfigIndex(config *state.PlatformConfig) *configIndex {
	index := &configIndex{
		version: config.Version, routesByHostName: map[string][]*state.Route{},
		accountsByKeyHash: map[[32]byte]*state.ManagedAccount{}, services: map[string]*state.ServiceProfile{},
	}
	for i := range config.Routes {
		route := &config.Routes[i]
		hostName := strings.ToLower(route.HostName)
		index.routesByHostName[hostName] = append(index.routesByHostName[hostName], route)
	}
	for _, routes := range index.routesByHostName {
		slices.SortStableFunc(routes, func(a, b *state.Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	for i := range config.Accounts {
		for _, hash := range config.Accounts[i].KeyHashes {
			index.accountsByKeyHash[hash] = &config.Accounts[i]
		}
	}
	for i := range config.Services {
		index.services[config.Services[i].Name] = &config.Services[i]
	}
	return index
}

// findRoute returns the route with the longest path prefix that matches, or nil.
func (x *configIndex) findRoute(hostName, path string) *state.Route {
	for _, route := range x.routesByHostName[hostName] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// priority returns the priority of a request. The priority of its client account
// takes precedence over that of its route.
func (x *configIndex) priority(req *state.Request) int {
	if account := x.accountsByKeyHash[req.Arrival.Routed.KeyHash]; account != nil && account.Priority >= 0 && req.Account == account.Name {
		return account.Priority
	}
	return req.Route.Priority
}

// chooseService selects a service by the weights of the route's traffic split.
// fraction is a random number in [0, 1). It returns "" if the weights sum to 0.
func chooseService(route *state.Route, fraction float64) string {
	total := 0
	for _, share := range route.TrafficSplit {
		total += share.Weight
	}
	point := int(fraction * float64(total))
	for _, share := range route.TrafficSplit {
		if point < share.Weight {
			return share.Service
		}
		point -= share.Weight
	}
	return ""
}
