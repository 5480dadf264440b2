package placement

import (
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// groupRequestPeriod is the minimum time between requests to peers for group
// rows. It is longer than the retry delay of scans, because a reply contains
// all rows.
const groupRequestPeriod = 2 * time.Second

// requestGroupRows requests the group rows from a random linked peer until a scan
// has succeeded. A node that starts while the table service is down has no
// other source for them. The peer is chosen anew for each request, because a
// peer that has just started may have no rows either.
func (s *System) requestGroupRows(now time.Duration, out *state.Outbox) {
	if s.groupsRead || now < s.nextGroupRequestAt {
		return
	}
	s.nextGroupRequestAt = now + groupRequestPeriod
	var linkedPeers []state.NodeID
	for id, p := range s.tables.Peers.All() {
		if p.Linked && p.Synced {
			linkedPeers = append(linkedPeers, id)
		}
	}
	if len(linkedPeers) == 0 {
		return
	}
	peer := linkedPeers[s.tables.Rand.IntN(len(linkedPeers))]
	out.Add(state.SendPeer{To: peer, Message: state.Message{GroupRequest: &state.GroupRequest{}}})
}

// sendGroupRows sends all known group rows to a peer that requested them.
func (s *System) sendGroupRows(peer state.NodeID, out *state.Outbox) {
	for _, id := range s.groupIDs {
		if g := s.groups[id]; g.revision != 0 {
			out.Add(state.SendPeer{To: peer, Message: state.Message{
				GroupNotice: &state.GroupNotice{Group: id, Revision: g.revision, Row: g.row},
			}})
		}
	}
}
