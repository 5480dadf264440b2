package placement

import (
	"log/slog"
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

// termTokenBits is the number of low bits of a fencing token that count within
// one lease term. The fencing token of the lease occupies the bits above them,
// so that every token of a holder is higher than all tokens of earlier holders.
// 20 bits keep the tokens below 2^53, the limit for exact integers in JSON
// parsers of other languages.
const termTokenBits = 20

// change is a transaction on a group row and the rows of its hosts.
type change struct {
	event event.ID
	group state.GroupID
	row   state.GroupRow
	// hosts lists the host rows to write, in order.
	hosts []hostChange
	// drain is set when running requests may finish before the engines receive
	// orders.
	drain bool
	op    state.OpID
}

type hostChange struct {
	id    state.HostID
	group state.GroupID
}

// keys returns the keys of the rows that the change writes, except that of the
// lease.
func (ch *change) keys() []string {
	keys := []string{state.KeyGroup(ch.group)}
	for _, h := range ch.hosts {
		keys = append(keys, state.KeyHost(h.id))
	}
	return keys
}

// nextFencingToken returns a fencing token that is higher than those in the
// rows of a change and those of engines that refused an order of the group.
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

// setMembers sets the members of the group row and the host rows of a change.
// Members that leave are freed. Members that stay get the new fencing token as
// well, because they load together with the new members.
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

// commit sends the transaction of a change. The lease row is one of its
// conditions. The transaction also renews the lease, because a change and a
// separate renewal would conflict on the revision of the lease row.
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

// completeChange is called when the current rows of a change are known. The
// change took effect if the group row contains its operation id.
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

// newGroupRow returns the row of a group that loads what its specification
// declares.
func newGroupRow(spec *state.GroupSpec, domain state.DomainID) state.GroupRow {
	return state.GroupRow{
		Domain: domain, Phase: state.GroupLoading, Order: state.OrderLoad,
		Model: spec.Model, Version: spec.Version, Adapters: spec.Adapters, Role: spec.Role,
	}
}
