// Package placement forms and repairs replica groups and orders engines to load
// what they serve.
package placement

import (
	"strings"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

const (
	name = "placement"
	// scanPeriod is the period of scans of the group rows.
	scanPeriod  = time.Second
	orderExpiry = 5 * time.Second
)

// System reads Config and Hosts; it writes Leases, the assignment columns of
// Hosts and the row columns of Groups.
type System struct {
	t        *state.Tables
	nextScan time.Duration
	scan     uint64
	commit   uint64
	order    uint64
}

// New returns the placement system.
func New(t *state.Tables) *System { return &System{t: t} }

// Step implements state.System.
func (s *System) Step(now time.Duration, in state.Input, out *state.Outbox) {
	switch in := in.(type) {
	case state.Tick:
		s.tick(now, out)
	case state.StoreReply:
		s.replied(in, out)
	}
}

func (s *System) tick(now time.Duration, out *state.Outbox) {
	if now < s.nextScan || !s.t.Config.Known {
		return
	}
	s.nextScan = now + scanPeriod
	s.scan = s.t.Store(out, name, state.StoreRequest{Scan: state.PrefixGroup})
}

func (s *System) replied(reply state.StoreReply, out *state.Outbox) {
	if !s.t.OwnsReply(name, reply) || reply.Result != state.StoreOK || reply.ID != s.scan {
		return
	}
	for _, row := range reply.Rows {
		s.adopt(row)
	}
	for _, spec := range s.t.Config.Document.Groups {
		if s.t.Groups.Get(spec.Name) == nil {
			s.form(spec, out)
			return
		}
		s.load(spec, out)
	}
}

func (s *System) adopt(row state.StoreRow) {
	var value state.GroupRow
	if state.Decode(row.Value, &value) != nil {
		return
	}
	id := state.GroupID(strings.TrimPrefix(row.Key, state.PrefixGroup))
	group := s.t.Groups.Get(id)
	if group == nil {
		group = &state.Group{ID: id}
	}
	group.Members, group.Domain, group.Fence = value.Members, value.Domain, value.Fence
	group.Phase, group.Revision = value.Phase, row.Revision
	group.Leader = value.Members[0]
	s.t.Groups.Put(id, group)
	for _, m := range value.Members {
		if host := s.t.Hosts.Get(m); host != nil {
			host.Group, host.Fence = id, value.Fence
		}
	}
}

func (s *System) form(spec state.GroupSpec, out *state.Outbox) {
	var members []state.HostID
	for id, host := range s.t.Hosts.All() {
		if host.Group == "" && host.DataCentre == spec.DataCentre && len(members) < spec.Members {
			members = append(members, id)
		}
	}
	if len(members) < spec.Members {
		return
	}
	op := s.t.NewOp()
	row := state.GroupRow{Members: members, Fence: 1, Phase: state.GroupLoading, Op: op}
	tx := state.Transaction{
		Conditions: []state.Condition{{Key: state.KeyGroup(spec.Name)}},
		Writes:     []state.Write{{Key: state.KeyGroup(spec.Name), Value: state.Encode(row)}},
	}
	for _, m := range members {
		tx.Conditions = append(tx.Conditions, state.Condition{Key: state.KeyHost(m)})
		value := state.Encode(state.HostRow{Group: spec.Name, Fence: 1, Op: op})
		tx.Writes = append(tx.Writes, state.Write{Key: state.KeyHost(m), Value: value})
	}
	s.commit = s.t.Store(out, name, state.StoreRequest{Transact: &tx})
	out.Log(event.GroupFormed)
}

func (s *System) load(spec state.GroupSpec, out *state.Outbox) {
	group := s.t.Groups.Get(spec.Name)
	for _, m := range group.Members {
		host := s.t.Hosts.Get(m)
		if host == nil || host.Probe.Phase != state.PhaseEmpty {
			continue
		}
		s.order++
		out.Add(state.EngineOrder{
			Order: s.order, Host: m, Address: host.Address, Kind: state.OrderLoad, Group: group.ID,
			Members: group.Members, Fence: group.Fence, Expiry: orderExpiry,
			Model: spec.Model, Version: spec.Version, Adapters: spec.Adapters, Role: spec.Role,
		})
	}
}
