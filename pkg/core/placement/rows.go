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
	// rowAppliedAt is when the row was last taken over.
	rowAppliedAt time.Duration
	// brokenSince is when a dead member was first found without a remedy; 0
	// means that there is none.
	brokenSince time.Duration
	// abandoned is set when no remedy was found for the abandonment delay.
	abandoned bool
	// engineFencingToken asks for a new fencing number because an engine holds a higher
	// one.
	engineFencingToken state.FencingToken
	// drainUntil is until when orders wait for running requests to end.
	drainUntil time.Duration
}

// hasMembers reports whether the group has hosts.
func (g *group) hasMembers() bool {
	return g.revision != 0 && g.row.Phase != state.GroupDissolved && len(g.row.Members) > 0
}

// host is what this node knows of a host beside the shared table.
type host struct {
	id         state.HostID
	dataCentre state.DataCentre
	row        state.HostRow
	revision   uint64
	// rowAppliedAt is when the row was last taken over.
	rowAppliedAt time.Duration
	// assignedGroup and fence are the assignment as the newest row of either kind has
	// it. Nodes that hold no lease know only the group rows.
	assignedGroup        state.GroupID
	assignedFencingToken state.FencingToken

	// answer is the last answer of the engine, to a probe sent at okAt.
	answer        state.ProbeAnswer
	probeOKAt     time.Duration
	probeFailedAt time.Duration
	probeSentAt   time.Duration

	// order is the last order of this node to the engine.
	order sentOrder
	// drainUntil is until when requests of a former group may still run.
	drainUntil time.Duration
}

// scan is a periodic read of all rows under a prefix.
type scan struct {
	prefix    string
	requestID uint64
	sentAt    time.Duration
	nextAt    time.Duration
}

// scanPeriod returns the period of scans by a node that is not a holder.
func (s *System) scanPeriod() time.Duration {
	nodes := time.Duration(len(s.tables.Config.Head.Nodes))
	return min(max(nodes*scanPerNode, minScanPeriod), maxScanPeriod)
}

func (s *System) startDueScans(now time.Duration, out *state.Outbox) {
	period := s.scanPeriod()
	leasePeriod := period
	if s.scansLeasesFrequently() {
		leasePeriod = leaseScanPeriod
	}
	s.startScan(now, &s.leaseScan, leasePeriod, out)
	s.startScan(now, &s.groupScan, period, out)
	for _, c := range s.dataCentres {
		if c.term != nil {
			s.startScan(now, &s.hostScan, hostScanPeriod, out)
			return
		}
	}
}

func (s *System) startScan(now time.Duration, sc *scan, period time.Duration, out *state.Outbox) {
	timedOut := sc.requestID != 0 && now-sc.sentAt >= replyTimeout
	if !timedOut && (sc.requestID != 0 || now < sc.nextAt) {
		return
	}
	// Nodes that start together would scan together without the jitter.
	sc.sentAt, sc.nextAt = now, now+period/2+time.Duration(s.tables.Rand.Int64N(int64(period)))
	sc.requestID = s.tables.SendStoreRequest(out, systemName, state.StoreRequest{Scan: sc.prefix})
}

// completeScan takes over the rows of a whole scan.
func (s *System) completeScan(now time.Duration, sc *scan, rows []state.StoreRow, out *state.Outbox) {
	s.applyRows(now, rows, out)
	presentKeys := make(map[string]struct{}, len(rows))
	for _, row := range rows {
		presentKeys[row.Key] = struct{}{}
	}
	switch sc.prefix {
	case state.PrefixLease:
		for _, c := range s.dataCentres {
			if _, ok := presentKeys[state.KeyLease(c.id)]; !ok {
				c.recordLeaseAbsent(now)
			}
		}
	case state.PrefixGroup:
		s.groupsRead = true
		for _, g := range s.groups {
			if _, ok := presentKeys[state.KeyGroup(g.id)]; !ok && g.rowAppliedAt < sc.sentAt {
				s.dropGroupRow(g)
			}
		}
	case state.PrefixHost:
		for _, h := range s.hosts {
			if _, ok := presentKeys[state.KeyHost(h.id)]; !ok && h.rowAppliedAt < sc.sentAt {
				s.dropHostRow(h)
			}
		}
	}
	s.recordScan(sc)
}

// recordScan notes in each tenure that began before a scan that its rows are
// known.
func (s *System) recordScan(sc *scan) {
	for _, c := range s.dataCentres {
		if c.term == nil || sc.sentAt < c.term.startedAt {
			continue
		}
		switch sc.prefix {
		case state.PrefixGroup:
			c.term.groupsRead = true
		case state.PrefixHost:
			if !c.term.hostsRead {
				c.term.hostsRead = true
				s.findUnloadCandidates(c)
			}
		}
	}
}

// applyRows takes over rows of any kind. Rows that are older than what is
// known are ignored, so that late replies do no harm.
func (s *System) applyRows(now time.Duration, rows []state.StoreRow, out *state.Outbox) {
	for _, row := range rows {
		switch {
		case strings.HasPrefix(row.Key, state.PrefixLease):
			s.applyLeaseRow(now, row, out)
		case strings.HasPrefix(row.Key, state.PrefixGroup):
			s.applyGroupRow(now, row)
		case strings.HasPrefix(row.Key, state.PrefixHost):
			s.applyHostRow(now, row)
		}
	}
}

// dropAbsentRows drops the rows that a reply shows to be absent.
func (s *System) dropAbsentRows(keys []string, rows []state.StoreRow) {
	for _, key := range keys {
		if slices.ContainsFunc(rows, func(r state.StoreRow) bool { return r.Key == key }) {
			continue
		}
		switch {
		case strings.HasPrefix(key, state.PrefixGroup):
			s.dropGroupRow(s.group(groupIDFromKey(key)))
		case strings.HasPrefix(key, state.PrefixHost):
			s.dropHostRow(s.host(hostIDFromKey(key)))
		}
	}
}

// applyGroupRow takes over a group row and reports whether it was new.
func (s *System) applyGroupRow(now time.Duration, row state.StoreRow) bool {
	id := groupIDFromKey(row.Key)
	if g := s.groups[id]; g != nil && row.Revision <= g.revision {
		return false
	}
	var value state.GroupRow
	if state.Decode(row.Value, &value) != nil {
		return false
	}
	g := s.group(id)
	s.setGroupRow(now, g, value, row.Revision)
	return true
}

func (s *System) setGroupRow(now time.Duration, g *group, value state.GroupRow, revision uint64) {
	previous := g.row
	if value.FencingToken != previous.FencingToken {
		g.brokenSince, g.abandoned, g.engineFencingToken, g.drainUntil = 0, false, 0, 0
	}
	g.row, g.revision, g.rowAppliedAt = value, revision, now
	for _, m := range previous.Members {
		if !slices.Contains(value.Members, m) {
			s.setAssignment(m, "", value.FencingToken, g.id)
		}
	}
	for _, m := range value.Members {
		s.setAssignment(m, g.id, value.FencingToken, g.id)
	}
	if value.Phase == state.GroupDissolved {
		s.tables.Groups.Delete(g.id)
		return
	}
	row := s.tables.Groups.Get(g.id)
	if row == nil {
		row = &state.Group{ID: g.id}
	}
	row.Members, row.Domain, row.FencingToken = value.Members, value.Domain, value.FencingToken
	row.Phase, row.Revision, row.Leader = value.Phase, revision, ""
	if len(value.Members) > 0 {
		row.Leader = value.Members[0]
	}
	s.tables.Groups.Put(g.id, row)
}

func (s *System) dropGroupRow(g *group) {
	g.row, g.revision = state.GroupRow{}, 0
	s.tables.Groups.Delete(g.id)
}

// setAssignment notes the assignment of a host that a group row implies.
func (s *System) setAssignment(id state.HostID, groupID state.GroupID, fencingToken state.FencingToken, sourceGroup state.GroupID) {
	h := s.host(id)
	if fencingToken < h.assignedFencingToken || (groupID == "" && h.assignedGroup != sourceGroup) {
		return
	}
	h.assignedGroup, h.assignedFencingToken = groupID, fencingToken
	s.publishAssignment(h)
}

func (s *System) applyHostRow(now time.Duration, row state.StoreRow) {
	h := s.host(hostIDFromKey(row.Key))
	if row.Revision <= h.revision {
		return
	}
	if state.Decode(row.Value, &h.row) != nil {
		return
	}
	h.revision, h.rowAppliedAt = row.Revision, now
	h.assignedGroup, h.assignedFencingToken = h.row.Group, h.row.FencingToken
	s.publishAssignment(h)
}

func (s *System) dropHostRow(h *host) {
	if h.revision == 0 {
		return
	}
	h.row, h.revision = state.HostRow{}, 0
	h.assignedGroup, h.assignedFencingToken = "", 0
	s.publishAssignment(h)
}

// publishAssignment copies the assignment into the shared table.
func (s *System) publishAssignment(h *host) {
	if row := s.tables.Hosts.Get(h.id); row != nil {
		row.Group, row.FencingToken, row.Revision = h.assignedGroup, h.assignedFencingToken, h.revision
	}
}

// handleGroupNotice takes over a group row that a peer passed on, and passes it on
// further when it is new. A row with its revision is a fact that does not
// expire, so it may be pushed.
func (s *System) handleGroupNotice(now time.Duration, from state.NodeID, notice *state.GroupNotice, out *state.Outbox) {
	if g := s.groups[notice.Group]; notice.Group == "" || (g != nil && notice.Revision <= g.revision) {
		return
	}
	s.setGroupRow(now, s.group(notice.Group), notice.Row, notice.Revision)
	s.forwardGroupRow(notice.Group, from, out)
}

// broadcastGroupRow passes a group row on to all linked peers. The holder does so once
// for each of its changes.
func (s *System) broadcastGroupRow(id state.GroupID, out *state.Outbox) {
	for peer, row := range s.tables.Peers.All() {
		if row.Linked {
			s.sendGroupRow(peer, id, out)
		}
	}
}

// forwardPeers is the number of peers to which a node passes on a notice. They
// reach the nodes that have no link to the holder. It is small because nodes
// keep links to all others: passing on to all of them would send the square of
// the number of nodes for each change.
const forwardPeers = 2

// forwardGroupRow passes a group row on to the linked peers that follow this node in the
// order of ids, so that each node is reached while neighbours have a link.
func (s *System) forwardGroupRow(id state.GroupID, from state.NodeID, out *state.Outbox) {
	peers := s.tables.Peers.Keys()
	first, _ := slices.BinarySearch(peers, s.tables.Self.ID)
	sent := 0
	for i := range peers {
		peer := peers[(first+i)%len(peers)]
		if peer == from || !s.tables.Peers.Get(peer).Linked {
			continue
		}
		s.sendGroupRow(peer, id, out)
		if sent++; sent == forwardPeers {
			return
		}
	}
}

func (s *System) sendGroupRow(peer state.NodeID, id state.GroupID, out *state.Outbox) {
	g := s.groups[id]
	out.Add(state.SendPeer{To: peer, Message: state.Message{
		GroupNotice: &state.GroupNotice{Group: id, Revision: g.revision, Row: g.row},
	}})
}
