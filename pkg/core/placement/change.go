package placement

import (
	"log/slog"
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

// termTokenBits is the number of bits of a fencing number that count within one
// tenure of a lease. The fencing number of the lease is above them, so that
// every number of a holder is higher than all numbers of former holders. 20 bits
// keep the numbers below 2^53, which JSON readers in other languages can hold.
const termTokenBits = 20

// change is one transaction over a group and its hosts.
type change struct {
	event event.ID
	group state.GroupID
	row   state.GroupRow
	// hosts are the rows to write, in order.
	hosts []hostChange
	// drain is set when running requests may end before the engines are
	// ordered.
	drain bool
	op    state.OpID
}

type hostChange struct {
	id    state.HostID
	group state.GroupID
}

// keys returns the keys of the rows that the change writes, but for the lease.
func (ch *change) keys() []string {
	keys := []string{state.KeyGroup(ch.group)}
	for _, h := range ch.hosts {
		keys = append(keys, state.KeyHost(h.id))
	}
	return keys
}

// nextFencingToken returns a fencing number above all that the rows of a change and
// the engines that refused an order of the group hold.
func (s *System) nextFencingToken(c *dataCentre, ch *change) state.FencingToken {
	c.term.tokenCount++
	token := state.FencingToken(uint64(c.term.fencingToken)<<termTokenBits + c.term.tokenCount)
	if g := s.groups[ch.group]; g != nil {
		token = max(token, g.row.FencingToken+1, g.engineFencingToken+1)
	}
	for _, h := range ch.hosts {
		token = max(token, s.host(h.id).row.FencingToken+1)
	}
	return token
}

// setMembers fills in the rows of a change that gives a group new members.
// Members that leave are freed; those that stay get the new number too, because
// they load together with the new ones.
func (ch *change) setMembers(oldMembers, members []state.HostID) {
	ch.row.Members = members
	ch.hosts = nil
	for _, m := range members {
		ch.hosts = append(ch.hosts, hostChange{m, ch.group})
	}
	for _, m := range oldMembers {
		if !slices.Contains(members, m) {
			ch.hosts = append(ch.hosts, hostChange{id: m})
		}
	}
}

// commit sends the transaction of a change. It has the lease row as a condition
// and renews the lease, because both change the revision of the lease row.
func (s *System) commit(now time.Duration, c *dataCentre, ch *change, out *state.Outbox) {
	ch.op = s.tables.NewOpID()
	ch.row.Op = ch.op
	ch.row.DataCentre = c.id
	if len(ch.hosts) > 0 {
		ch.row.FencingToken = s.nextFencingToken(c, ch)
	}
	tx := &state.Transaction{}
	if !s.tables.Switches.IgnoreFencing {
		lease := s.nextLeaseRow(c, callRenew)
		c.recordLeaseWrite(now, lease.Op)
		c.nextRenewAt = now + renewPeriod
		tx.Conditions = append(tx.Conditions, state.Condition{Key: state.KeyLease(c.id), Revision: c.lease.Revision})
		tx.Writes = append(tx.Writes, state.Write{Key: state.KeyLease(c.id), Value: state.Encode(lease)})
	}
	key := state.KeyGroup(ch.group)
	tx.Conditions = append(tx.Conditions, state.Condition{Key: key, Revision: s.group(ch.group).revision})
	tx.Writes = append(tx.Writes, state.Write{Key: key, Value: state.Encode(ch.row)})
	for _, h := range ch.hosts {
		key := state.KeyHost(h.id)
		if !s.tables.Switches.IgnoreHostRows {
			tx.Conditions = append(tx.Conditions, state.Condition{Key: key, Revision: s.host(h.id).revision})
		}
		value := state.Encode(state.HostRow{Group: h.group, FencingToken: ch.row.FencingToken, Op: ch.op})
		tx.Writes = append(tx.Writes, state.Write{Key: key, Value: value})
	}
	c.call = call{kind: callChange, sentAt: now, change: ch}
	c.call.requestID = s.tables.SendStoreRequest(out, systemName, state.StoreRequest{Transact: tx})
}

// completeChange is called when the rows of a change are known again. The change
// took effect if the group row carries its operation id.
func (s *System) completeChange(now time.Duration, c *dataCentre, ch *change, out *state.Outbox) {
	g := s.group(ch.group)
	if c.term != nil {
		c.term.nextPlanAt = now
	}
	if g.row.Op != ch.op {
		return
	}
	out.Log(ch.event, slog.String("group", string(ch.group)), slog.String("data_centre", string(c.id)),
		slog.String("domain", string(g.row.Domain)), slog.Uint64("fence", uint64(g.row.FencingToken)))
	s.broadcastGroupRow(ch.group, out)
	if c.term == nil {
		return
	}
	c.term.nextOrderAt = now
	if ch.event != event.GroupLoaded {
		delete(c.term.admittedBytes, ch.group)
		delete(c.term.unplaceableGroups, ch.group)
	}
	for _, hc := range ch.hosts {
		h := s.host(hc.id)
		h.drainUntil = 0
		if hc.group == "" {
			c.term.unloadCandidates[hc.id] = struct{}{}
			if ch.drain {
				h.drainUntil = now + drainTimeout
			}
		}
	}
	if ch.drain {
		g.drainUntil = now + drainTimeout
	}
}

// newGroupRow returns the row of a group as its specification asks for it.
func newGroupRow(spec *state.GroupSpec, domain state.DomainID) state.GroupRow {
	return state.GroupRow{
		Domain: domain, Phase: state.GroupLoading, Order: state.OrderLoad,
		Model: spec.Model, Version: spec.Version, Adapters: spec.Adapters, Role: spec.Role,
	}
}
