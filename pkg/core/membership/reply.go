package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

func (s *System) peerMessage(now time.Duration, in state.PeerMessage, out *state.Outbox) {
	if req := in.Message.PollRequest; req != nil {
		reply := s.reply(now, *req)
		out.Add(state.SendPeer{To: in.From, Message: state.Message{PollReply: &reply}})
	}
	if reply := in.Message.PollReply; reply != nil {
		s.replied(now, in.From, reply, out)
	}
}

// reply says what this node knows, with ages that count back from now.
func (s *System) reply(now time.Duration, req state.PollRequest) state.PollReply {
	c := &s.t.Config
	r := state.PollReply{
		Seq: req.Seq, Cursor: s.log.seq, Version: c.Head.Version, EvidenceAge: -1, AcceptedVersion: c.AcceptedVersion,
		Leaving: s.t.Draining, Synced: c.Synced, UnreachableNodes: s.exchange.unreached, UnreachableDataCentres: s.prober.blind,
	}
	if c.Synced && c.EvidenceAt >= 0 {
		r.EvidenceAge = now - c.EvidenceAt
	}
	r.HealthReportAge = s.ownVerdictAge(now)
	s.log.since(req.Cursor, func(it item) {
		switch it.kind {
		case itemLoad:
			r.Loads = append(r.Loads, state.TargetCount{Target: state.TargetID(it.key), Count: s.log.counts[it]})
		case itemUsage:
			r.Usage = append(r.Usage, state.AccountValue{Account: state.AccountID(it.key), Value: s.log.counts[it]})
		case itemVerdict:
			r.HealthReports = append(r.HealthReports, s.ownVerdict(now, state.GroupID(it.key)))
		case itemNotReady:
			r.NotReadyMembers = s.reportNotReady(r.NotReadyMembers, state.HostID(it.key))
		}
	})
	return r
}

// replied takes a reply. Everything in it is dated by the send time of the
// request, so that a reply that was held up is as old as it is. A reply to an
// older request than one that was answered already is dropped: it may hold
// counts that have changed since.
func (s *System) replied(now time.Duration, from state.NodeID, r *state.PollReply, out *state.Outbox) {
	row, ps := s.t.Peers.Get(from), s.exchange.peers[from]
	if row == nil || ps == nil {
		return
	}
	i := slices.IndexFunc(ps.sent, func(p sentPoll) bool { return p.seq == r.Seq })
	if i < 0 {
		return
	}
	sentAt := ps.sent[i].at
	ps.sent = slices.Delete(ps.sent, 0, i+1)
	ps.cursor = r.Cursor
	s.heard(row, ps, sentAt)
	row.Version, row.VersionAt, row.Synced, row.AcceptedVersion = r.Version, sentAt, r.Synced, r.AcceptedVersion
	row.EvidenceAt = -1
	if r.EvidenceAge >= 0 {
		row.EvidenceAt = sentAt - r.EvidenceAge
	}
	if !slices.Equal(row.UnreachableDataCentres, r.UnreachableDataCentres) {
		s.watch.changed = true
	}
	row.Leaving, row.UnreachableDataCentres, row.UnreachableNodes = r.Leaving, r.UnreachableDataCentres, r.UnreachableNodes
	if _, listed := slices.BinarySearch(s.watch.live, from); listed != s.isLive(now, row) {
		s.watch.changed = true
	}
	row.Loads = mergeCounts(row.Loads, r.Loads)
	row.Usage = mergeUsage(row.Usage, r.Usage)
	s.t.Peers.Touch(from)
	for _, seen := range r.NotReadyMembers {
		s.sawNotReady(seen.Host, seen.Incarnation)
	}
	s.takeVerdicts(now, from, sentAt, r, out)
}

// heard notes that a peer answered a poll sent at a time.
func (s *System) heard(row *state.Peer, ps *peerState, sentAt time.Duration) {
	row.LastReplyAt = max(sentAt, 1)
	row.Unreachable = false
	s.exchange.unreached = without(s.exchange.unreached, row.ID)
	if len(ps.sent) > 0 {
		s.setSilent(row, max(ps.sent[0].at, 1))
		return
	}
	row.UnansweredSince = 0
	s.exchange.silent.Cancel(row.ID)
}

func mergeCounts(list, changes []state.TargetCount) []state.TargetCount {
	return merge(list, changes, func(a, b state.TargetCount) int { return cmp.Compare(a.Target, b.Target) },
		func(c state.TargetCount) bool { return c.Count == 0 })
}

func mergeUsage(list, changes []state.AccountValue) []state.AccountValue {
	return merge(list, changes, func(a, b state.AccountValue) int { return cmp.Compare(a.Account, b.Account) },
		func(c state.AccountValue) bool { return c.Value == 0 })
}

// merge applies changes to a sorted list; an empty one deletes its entry.
func merge[T any](list, changes []T, compare func(a, b T) int, empty func(T) bool) []T {
	for _, c := range changes {
		i, found := slices.BinarySearchFunc(list, c, compare)
		switch {
		case found && empty(c):
			list = slices.Delete(list, i, i+1)
		case found:
			list[i] = c
		case !empty(c):
			list = slices.Insert(list, i, c)
		}
	}
	return list
}
