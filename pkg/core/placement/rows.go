package placement

import (
	"slices"
	"strings"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const (
	// never is earlier than every other time.
	never = time.Duration(-1 << 62)
	// minScanPeriod and maxScanPeriod limit the period of group row scans. The
	// period grows with the number of nodes, so that all nodes together scan
	// at most about 5 times per second.
	minScanPeriod = 2 * time.Second
	maxScanPeriod = 60 * time.Second
	scanPerNode   = 250 * time.Millisecond
	// leaseScanPeriod is the period at which the first candidates scan the
	// lease rows.
	leaseScanPeriod = time.Second
	// hostScanPeriod is the period at which a holder reads the host rows
	// again. Its own transactions return every change, so this scan only
	// repairs what a fault of the table service may leave behind.
	hostScanPeriod = 5 * time.Minute
)

// group is the state of a replica group on this node in addition to the shared
// table.
type group struct {
	id       state.GroupID
	row      state.GroupRow
	revision uint64
	// rowAppliedAt is when the row was last updated.
	rowAppliedAt time.Duration
	// brokenSince is when a dead member was first found; 0 means that the
	// group has none.
	brokenSince time.Duration
	// abandoned is set when the group could not be repaired for abandonAfter.
	abandoned bool
	// engineFencingToken is the highest fencing token of an engine that
	// refused an order. The group needs a new token if this one is not lower
	// than that of its row.
	engineFencingToken state.FencingToken
	// drainUntil is the time until which orders wait for running requests to
	// end.
	drainUntil time.Duration
}

// hasMembers reports whether hosts are assigned to the group.
func (g *group) hasMembers() bool {
	return g.revision != 0 && g.row.Phase != state.GroupDissolved && len(g.row.Members) > 0
}

// host is the state of a host on this node in addition to the shared table.
type host struct {
	id         state.HostID
	dataCentre state.DataCentre
	row        state.HostRow
	revision   uint64
	// rowAppliedAt is when the row was last updated.
	rowAppliedAt time.Duration
	// assignedGroup and assignedFencingToken are the assignment according to
	// the newest group or host row. Nodes that hold no lease read only the
	// group rows.
	assignedGroup        state.GroupID
	assignedFencingToken state.FencingToken

	// answer is the last answer of the engine, to the probe sent at probeOKAt.
	answer        state.ProbeAnswer
	probeOKAt     time.Duration
	probeFailedAt time.Duration
	probeSentAt   time.Duration

	// order is the last order that this node sent to the engine.
	order sentOrder
	// drainUntil is the time until which requests of an earlier group may
	// still run.
	drainUntil time.Duration
}

// scan is a periodic read of all rows under a key prefix.
type scan struct {
	prefix    string
	requestID uint64
	sentAt    time.Duration
	nextAt    time.Duration
}

// scanPeriod returns the period of group row scans, and of lease row scans on
// nodes that are not among the first candidates.
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
	// Jitter spreads the scans of nodes that start at the same time.
	sc.sentAt, sc.nextAt = now, now+period/2+time.Duration(s.tables.Rand.Int64N(int64(period)))
	sc.requestID = s.tables.SendStoreRequest(out, systemName, state.StoreRequest{Scan: sc.prefix})
}

// completeScan applies the rows of a complete scan and drops the rows that no
// longer exist.
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

// recordScan marks the rows as read in each term that began before the scan was
// sent.
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

// applyRows applies rows of any kind. It ignores rows that are older than the
// known revision, so that late replies do no harm.
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

// dropAbsentRows drops the rows of the given keys that are missing from a
// reply.
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

// applyGroupRow applies a group row and reports whether it was new.
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

// setAssignment records the assignment of a host that follows from a group row.
// It ignores rows with an older fencing token, and a removal from a group that
// the host no longer belongs to.
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

// publishAssignment copies the assignment of a host to the shared table.
func (s *System) publishAssignment(h *host) {
	if row := s.tables.Hosts.Get(h.id); row != nil {
		row.Group, row.FencingToken, row.Revision = h.assignedGroup, h.assignedFencingToken, h.revision
	}
}

// handleGroupNotice applies a group row that a peer sent and forwards it if it
// is new. A row with its revision does not expire, so peers may push it without a
// request.
func (s *System) handleGroupNotice(now time.Duration, from state.NodeID, notice *state.GroupNotice, out *state.Outbox) {
	if g := s.groups[notice.Group]; notice.Group == "" || (g != nil && notice.Revision <= g.revision) {
		return
	}
	s.setGroupRow(now, s.group(notice.Group), notice.Row, notice.Revision)
	s.forwardGroupRow(notice.Group, from, out)
}

// broadcastGroupRow sends a group row to all linked peers. The holder does so
// once for each of its changes.
func (s *System) broadcastGroupRow(id state.GroupID, out *state.Outbox) {
	for peer, row := range s.tables.Peers.All() {
		if row.Linked {
			s.sendGroupRow(peer, id, out)
		}
	}
}

// forwardPeers is the number of peers to which a node forwards a notice, so
// that nodes without a link to the holder receive it. It is small because nodes
// keep links to all others: if each node forwarded to all of them, the number
// of messages per change would grow with the square of the number of nodes.
const forwardPeers = 2

// forwardGroupRow sends a group row to the linked peers that follow this node
// in id order, so that it reaches every node as long as neighbours in this
// order are linked.
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
