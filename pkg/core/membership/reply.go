package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

func (s *System) handlePeerMessage(now time.Duration, in state.PeerMessage, out *state.Outbox) {
	if req := in.Message.PollRequest; req != nil {
		reply := s.buildPollReply(now, *req)
		out.Add(state.SendPeer{To: in.From, Message: state.Message{PollReply: &reply}})
	}
	if reply := in.Message.PollReply; reply != nil {
		s.handlePollReply(now, in.From, reply, out)
	}
}

// buildPollReply returns the state of this node and the items that changed after
// the cursor of the request. Ages count back from now.
func (s *System) buildPollReply(now time.Duration, req state.PollRequest) state.PollReply {
	config := &s.tables.Config
	reply := state.PollReply{
		Seq: req.Seq, Cursor: s.changeLog.lastSeq, Version: config.Head.Version, EvidenceAge: -1,
		AcceptedVersion: config.AcceptedVersion, Leaving: s.tables.Draining, Synced: config.Synced,
		UnreachableNodes: s.poller.unreachableNodes, UnreachableDataCentres: s.prober.unreachableDataCentres,
	}
	if config.Synced && config.EvidenceAt >= 0 {
		reply.EvidenceAge = now - config.EvidenceAt
	}
	reply.HealthReportAge = s.ownEvidenceAge(now)
	s.changeLog.visitSince(req.Cursor, func(it item) {
		switch it.kind {
		case itemLoad:
			reply.Loads = append(reply.Loads, state.TargetCount{Target: state.TargetID(it.key), Count: s.changeLog.counts[it]})
		case itemUsage:
			reply.Usage = append(reply.Usage, state.AccountValue{Account: state.AccountID(it.key), Value: s.changeLog.counts[it]})
		case itemHealthReport:
			reply.HealthReports = append(reply.HealthReports, s.ownHealthReport(now, state.GroupID(it.key)))
		case itemNotReadyMember:
			reply.NotReadyMembers = s.appendNotReadyMember(reply.NotReadyMembers, state.HostID(it.key))
		}
	})
	return reply
}

// handlePollReply applies a poll reply. Its contents are dated by the send time of
// the request, so that a delayed reply does not count as recent. A reply to an
// older request than one that was already answered is dropped, because it may
// hold counts that have changed since.
func (s *System) handlePollReply(now time.Duration, from state.NodeID, reply *state.PollReply, out *state.Outbox) {
	row, ps := s.tables.Peers.Get(from), s.poller.peers[from]
	if row == nil || ps == nil {
		return
	}
	i := slices.IndexFunc(ps.outstanding, func(poll outstandingPoll) bool { return poll.seq == reply.Seq })
	if i < 0 {
		return
	}
	sentAt := ps.outstanding[i].sentAt
	ps.outstanding = slices.Delete(ps.outstanding, 0, i+1)
	ps.cursor = reply.Cursor
	s.recordPollAnswer(row, ps, sentAt)
	row.Version, row.VersionAt, row.Synced, row.AcceptedVersion = reply.Version, sentAt, reply.Synced, reply.AcceptedVersion
	row.EvidenceAt = -1
	if reply.EvidenceAge >= 0 {
		row.EvidenceAt = sentAt - reply.EvidenceAge
	}
	if !slices.Equal(row.UnreachableDataCentres, reply.UnreachableDataCentres) {
		s.tracker.reassignAll = true
	}
	row.Leaving, row.UnreachableDataCentres, row.UnreachableNodes = reply.Leaving, reply.UnreachableDataCentres, reply.UnreachableNodes
	if _, wasLive := slices.BinarySearch(s.tracker.liveNodes, from); wasLive != s.isLive(now, row) {
		s.tracker.reassignAll = true
	}
	row.Loads = mergeLoads(row.Loads, reply.Loads)
	row.Usage = mergeUsage(row.Usage, reply.Usage)
	s.tables.Peers.Touch(from)
	for _, member := range reply.NotReadyMembers {
		s.recordNotReady(member.Host, member.Incarnation)
	}
	s.applyHealthReports(now, from, sentAt, reply, out)
}

// recordPollAnswer records that a peer answered the poll sent at sentAt. If later
// polls are outstanding, the time without an answer starts at the first of them.
func (s *System) recordPollAnswer(row *state.Peer, ps *peerState, sentAt time.Duration) {
	row.LastReplyAt = max(sentAt, 1)
	row.Unreachable = false
	s.poller.unreachableNodes = removeSorted(s.poller.unreachableNodes, row.ID)
	if len(ps.outstanding) > 0 {
		s.setUnansweredSince(row, max(ps.outstanding[0].sentAt, 1))
		return
	}
	row.UnansweredSince = 0
	s.poller.unansweredDue.Cancel(row.ID)
}

func mergeLoads(list, changes []state.TargetCount) []state.TargetCount {
	return mergeChanges(list, changes, func(a, b state.TargetCount) int { return cmp.Compare(a.Target, b.Target) },
		func(c state.TargetCount) bool { return c.Count == 0 })
}

func mergeUsage(list, changes []state.AccountValue) []state.AccountValue {
	return mergeChanges(list, changes, func(a, b state.AccountValue) int { return cmp.Compare(a.Account, b.Account) },
		func(c state.AccountValue) bool { return c.Value == 0 })
}

// mergeChanges applies changes to a sorted list. An empty change deletes the
// entry. The list is modified in place.
func mergeChanges[T any](list, changes []T, compare func(a, b T) int, isEmpty func(T) bool) []T {
	for _, c := range changes {
		i, found := slices.BinarySearchFunc(list, c, compare)
		switch {
		case found && isEmpty(c):
			list = slices.Delete(list, i, i+1)
		case found:
			list[i] = c
		case !isEmpty(c):
			list = slices.Insert(list, i, c)
		}
	}
	return list
}
