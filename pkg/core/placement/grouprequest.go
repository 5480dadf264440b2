package placement

import (
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// groupRequestPeriod is between requests for group rows to peers. It is longer than the
// delay between scans, because a reply holds all rows.
const groupRequestPeriod = 2 * time.Second

// requestGroupRows asks one linked peer for the group rows. A node that starts while the
// table service is down has no other way to learn them. Each request goes to
// another peer, because the first may have just started itself.
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

// sendGroupRows sends all group rows to a peer that asked for them.
func (s *System) sendGroupRows(peer state.NodeID, out *state.Outbox) {
	for _, id := range s.groupIDs {
		if g := s.groups[id]; g.revision != 0 {
			out.Add(state.SendPeer{To: peer, Message: state.Message{
				GroupNotice: &state.GroupNotice{Group: id, Revision: g.revision, Row: g.row},
			}})
		}
	}
}
