package placement

import (
	"slices"
	"strings"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const (
	// never is a time before every other.
	never = time.Duration(-1 << 62)
	// minScanPeriod and maxScanPeriod bound the period of scans of the group
	// rows. It grows with the number of nodes, so that all nodes together scan
	// at most about 5 times a second.
	minScanPeriod = 2 * time.Second
	maxScanPeriod = 60 * time.Second
	scanPerNode   = 250 * time.Millisecond
	// leaseScanPeriod is the period at which the first candidates look at the
	// lease rows.
	leaseScanPeriod = time.Second
	// hostScanPeriod is the period at which a holder reads the host rows again.
	// Its own transactions tell it of every change, so that this only repairs
	// what a fault of the table service may leave behind.
	hostScanPeriod = 5 * time.Minute
)

// group is what this node knows of a replica group beside the shared table.
type group struct {
	id       state.GroupID
	row      state.GroupRow
	revision uint64
	// touchedAt is when the row was last taken over.
	touchedAt time.Duration
	// brokenSince is when a dead member was first found without a remedy; 0
	// means that there is none.
	brokenSince time.Duration
	// abandoned is set when no remedy was found for the abandonment delay.
	abandoned bool
	// renumber asks for a new fencing number because an engine holds a higher
	// one.
	renumber state.FencingToken
	// drainUntil is until when orders wait for running requests to end.
	drainUntil time.Duration
}

// placed reports whether the group has hosts.
func (g *group) placed() bool {
	return g.revision != 0 && g.row.Phase != state.GroupDissolved && len(g.row.Members) > 0
}

// host is what this node knows of a host beside the shared table.
type host struct {
	id       state.HostID
	dc       state.DataCentre
	row      state.HostRow
	revision uint64
	// touchedAt is when the row was last taken over.
	touchedAt time.Duration
	// group and fence are the assignment as the newest row of either kind has
	// it. Nodes that hold no lease know only the group rows.
	group state.GroupID
	fence state.FencingToken

	// answer is the last answer of the engine, to a probe sent at okAt.
	answer    state.ProbeAnswer
	okAt      time.Duration
	failedAt  time.Duration
	probeSent time.Duration

	// order is the last order of this node to the engine.
	order sentOrder
	// drainUntil is until when requests of a former group may still run.
	drainUntil time.Duration
}

// scan is a periodic read of all rows under a prefix.
type scan struct {
	prefix string
	id     uint64
	sentAt time.Duration
	next   time.Duration
}

// scanPeriod returns the period of scans by a node that is not a holder.
func (s *System) scanPeriod() time.Duration {
	nodes := time.Duration(len(s.t.Config.Head.Nodes))
	return min(max(nodes*scanPerNode, minScanPeriod), maxScanPeriod)
}

func (s *System) scanAll(now time.Duration, out *state.Outbox) {
	period := s.scanPeriod()
	leases := period
	if s.watchesClosely() {
		leases = leaseScanPeriod
	}
	s.startScan(now, &s.leaseScan, leases, out)
	s.startScan(now, &s.groupScan, period, out)
	for _, c := range s.centres {
		if c.tenure != nil {
			s.startScan(now, &s.hostScan, hostScanPeriod, out)
			return
		}
	}
}

func (s *System) startScan(now time.Duration, sc *scan, period time.Duration, out *state.Outbox) {
	lost := sc.id != 0 && now-sc.sentAt >= replyTimeout
	if !lost && (sc.id != 0 || now < sc.next) {
		return
	}
	// Nodes that start together would scan together without the jitter.
	sc.sentAt, sc.next = now, now+period/2+time.Duration(s.t.Rand.Int64N(int64(period)))
	sc.id = s.t.SendStoreRequest(out, name, state.StoreRequest{Scan: sc.prefix})
}

// scanned takes over the rows of a whole scan.
func (s *System) scanned(now time.Duration, sc *scan, rows []state.StoreRow, out *state.Outbox) {
	s.adoptRows(now, rows, out)
	present := make(map[string]struct{}, len(rows))
	for _, row := range rows {
		present[row.Key] = struct{}{}
	}
	switch sc.prefix {
	case state.PrefixLease:
		for _, c := range s.centres {
			if _, ok := present[state.KeyLease(c.dc)]; !ok {
				c.leaseAbsent(now)
			}
		}
	case state.PrefixGroup:
		s.groupsRead = true
		for _, g := range s.groups {
			if _, ok := present[state.KeyGroup(g.id)]; !ok && g.touchedAt < sc.sentAt {
				s.dropGroup(g)
			}
		}
	case state.PrefixHost:
		for _, h := range s.hosts {
			if _, ok := present[state.KeyHost(h.id)]; !ok && h.touchedAt < sc.sentAt {
				s.dropHost(h)
			}
		}
	}
	s.markRead(sc)
}

// markRead notes in each tenure that began before a scan that its rows are
// known.
func (s *System) markRead(sc *scan) {
	for _, c := range s.centres {
		if c.tenure == nil || sc.sentAt < c.tenure.since {
			continue
		}
		switch sc.prefix {
		case state.PrefixGroup:
			c.tenure.groupsRead = true
		case state.PrefixHost:
			if !c.tenure.hostsRead {
				c.tenure.hostsRead = true
				s.findLeftovers(c)
			}
		}
	}
}

// adoptRows takes over rows of any kind. Rows that are older than what is
// known are ignored, so that late replies do no harm.
func (s *System) adoptRows(now time.Duration, rows []state.StoreRow, out *state.Outbox) {
	for _, row := range rows {
		switch {
		case strings.HasPrefix(row.Key, state.PrefixLease):
			s.adoptLease(now, row, out)
		case strings.HasPrefix(row.Key, state.PrefixGroup):
			s.adoptGroup(now, row)
		case strings.HasPrefix(row.Key, state.PrefixHost):
			s.adoptHost(now, row)
		}
	}
}

// forgetAbsent drops the rows that a reply shows to be absent.
func (s *System) forgetAbsent(keys []string, rows []state.StoreRow) {
	for _, key := range keys {
		if slices.ContainsFunc(rows, func(r state.StoreRow) bool { return r.Key == key }) {
			continue
		}
		switch {
		case strings.HasPrefix(key, state.PrefixGroup):
			s.dropGroup(s.group(groupOfKey(key)))
		case strings.HasPrefix(key, state.PrefixHost):
			s.dropHost(s.host(hostOfKey(key)))
		}
	}
}

// adoptGroup takes over a group row and reports whether it was new.
func (s *System) adoptGroup(now time.Duration, row state.StoreRow) bool {
	id := groupOfKey(row.Key)
	if g := s.groups[id]; g != nil && row.Revision <= g.revision {
		return false
	}
	var value state.GroupRow
	if state.Decode(row.Value, &value) != nil {
		return false
	}
	g := s.group(id)
	s.setGroup(now, g, value, row.Revision)
	return true
}

func (s *System) setGroup(now time.Duration, g *group, value state.GroupRow, revision uint64) {
	former := g.row
	if value.FencingToken != former.FencingToken {
		g.brokenSince, g.abandoned, g.renumber, g.drainUntil = 0, false, 0, 0
	}
	g.row, g.revision, g.touchedAt = value, revision, now
	for _, m := range former.Members {
		if !slices.Contains(value.Members, m) {
			s.assign(m, "", value.FencingToken, g.id)
		}
	}
	for _, m := range value.Members {
		s.assign(m, g.id, value.FencingToken, g.id)
	}
	if value.Phase == state.GroupDissolved {
		s.t.Groups.Delete(g.id)
		return
	}
	row := s.t.Groups.Get(g.id)
	if row == nil {
		row = &state.Group{ID: g.id}
	}
	row.Members, row.Domain, row.FencingToken = value.Members, value.Domain, value.FencingToken
	row.Phase, row.Revision, row.Leader = value.Phase, revision, ""
	if len(value.Members) > 0 {
		row.Leader = value.Members[0]
	}
	s.t.Groups.Put(g.id, row)
}

func (s *System) dropGroup(g *group) {
	g.row, g.revision = state.GroupRow{}, 0
	s.t.Groups.Delete(g.id)
}

// assign notes the assignment of a host that a group row implies.
func (s *System) assign(id state.HostID, to state.GroupID, fence state.FencingToken, by state.GroupID) {
	h := s.host(id)
	if fence < h.fence || (to == "" && h.group != by) {
		return
	}
	h.group, h.fence = to, fence
	s.showHost(h)
}

func (s *System) adoptHost(now time.Duration, row state.StoreRow) {
	h := s.host(hostOfKey(row.Key))
	if row.Revision <= h.revision {
		return
	}
	if state.Decode(row.Value, &h.row) != nil {
		return
	}
	h.revision, h.touchedAt = row.Revision, now
	h.group, h.fence = h.row.Group, h.row.FencingToken
	s.showHost(h)
}

func (s *System) dropHost(h *host) {
	if h.revision == 0 {
		return
	}
	h.row, h.revision = state.HostRow{}, 0
	h.group, h.fence = "", 0
	s.showHost(h)
}

// showHost copies the assignment into the shared table.
func (s *System) showHost(h *host) {
	if row := s.t.Hosts.Get(h.id); row != nil {
		row.Group, row.FencingToken, row.Revision = h.group, h.fence, h.revision
	}
}

// noticed takes over a group row that a peer passed on, and passes it on
// further when it is new. A row with its revision is a fact that does not
// expire, so it may be pushed.
func (s *System) noticed(now time.Duration, from state.NodeID, n *state.GroupNotice, out *state.Outbox) {
	if g := s.groups[n.Group]; n.Group == "" || (g != nil && n.Revision <= g.revision) {
		return
	}
	s.setGroup(now, s.group(n.Group), n.Row, n.Revision)
	s.relay(n.Group, from, out)
}

// announce passes a group row on to all linked peers. The holder does so once
// for each of its changes.
func (s *System) announce(id state.GroupID, out *state.Outbox) {
	for peer, row := range s.t.Peers.All() {
		if row.Linked {
			s.notify(peer, id, out)
		}
	}
}

// relayPeers is the number of peers to which a node passes on a notice. They
// reach the nodes that have no link to the holder. It is small because nodes
// keep links to all others: passing on to all of them would send the square of
// the number of nodes for each change.
const relayPeers = 2

// relay passes a group row on to the linked peers that follow this node in the
// order of ids, so that each node is reached while neighbours have a link.
func (s *System) relay(id state.GroupID, from state.NodeID, out *state.Outbox) {
	peers := s.t.Peers.Keys()
	first, _ := slices.BinarySearch(peers, s.t.Self.ID)
	sent := 0
	for i := range peers {
		peer := peers[(first+i)%len(peers)]
		if peer == from || !s.t.Peers.Get(peer).Linked {
			continue
		}
		s.notify(peer, id, out)
		if sent++; sent == relayPeers {
			return
		}
	}
}

func (s *System) notify(peer state.NodeID, id state.GroupID, out *state.Outbox) {
	g := s.groups[id]
	out.Add(state.SendPeer{To: peer, Message: state.Message{
		GroupNotice: &state.GroupNotice{Group: id, Revision: g.revision, Row: g.row},
	}})
}
