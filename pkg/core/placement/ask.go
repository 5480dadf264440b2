package placement

import (
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// askPeriod is between requests for group rows to peers. It is longer than the
// delay between scans, because a reply holds all rows.
const askPeriod = 2 * time.Second

// askPeer asks one linked peer for the group rows. A node that starts while the
// table service is down has no other way to learn them. Each request goes to
// another peer, because the first may have just started itself.
func (s *System) askPeer(now time.Duration, out *state.Outbox) {
	if s.groupsRead || now < s.nextAsk {
		return
	}
	s.nextAsk = now + askPeriod
	var linked []state.NodeID
	for id, p := range s.t.Peers.All() {
		if p.Linked && p.Synced {
			linked = append(linked, id)
		}
	}
	if len(linked) == 0 {
		return
	}
	to := linked[s.t.Rand.IntN(len(linked))]
	out.Add(state.SendPeer{To: to, Message: state.Message{GroupRequest: &state.GroupRequest{}}})
}

// answerPeer sends all group rows to a peer that asked for them.
func (s *System) answerPeer(to state.NodeID, out *state.Outbox) {
	for _, id := range s.groupIDs {
		if g := s.groups[id]; g.revision != 0 {
			out.Add(state.SendPeer{To: to, Message: state.Message{
				GroupNotice: &state.GroupNotice{Group: id, Revision: g.revision, Row: g.row},
			}})
		}
	}
}
