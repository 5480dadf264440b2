package inventory

import (
	"log/slog"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

// maxAnswerGap is the longest time between two answers to calls for the list of instances, of
// any nodes, in which no entry can have expired because its instance could not renew it: up to
// one heartbeat may have passed before the gap.
const maxAnswerGap = entryLifetime - heartbeatInterval

// never stands for the time of an event that has not happened.
const never = time.Duration(-1)

// listAnswers tracks when the store has answered calls for the list of instances, by this node
// or by its peers. An entry may expire in an outage of the store, since its instance cannot renew
// it. It does not expire because a node that reads the list is cut off.
type listAnswers struct {
	// ownAt is when a call of this node was last answered, and peerAt when this node last
	// knew of an answer to a peer.
	ownAt, peerAt time.Duration
	// callFailed is set if the last call of this node has failed since it began to watch.
	callFailed bool
	// watchedSince is when this node last began or ceased to watch the list itself.
	watchedSince time.Duration
	// unbrokenSince is when the answers began that have continued without an outage.
	unbrokenSince time.Duration
	// inferred is the last outage that this node has inferred from a gap, until a peer shows
	// that there was none.
	inferred *inferredOutage
}

// inferredOutage is what this node knew before it inferred an outage.
type inferredOutage struct {
	lastAnswerAt, unbrokenSince, recoveredAt time.Duration
}

func newListAnswers() listAnswers {
	return listAnswers{ownAt: never, peerAt: never, unbrokenSince: never}
}

// lastAt returns when a call of any node was last answered.
func (a *listAnswers) lastAt() time.Duration { return max(a.ownAt, a.peerAt) }

// isContinuous reports whether the last answer to any node is at most maxAnswerGap old.
func (a *listAnswers) isContinuous(now time.Duration) bool {
	return a.lastAt() >= 0 && now-a.lastAt() <= maxAnswerGap
}

// hasRecentPeerAnswer reports whether a peer was answered so recently that a failed call of this
// node shows nothing about the store.
func (a *listAnswers) hasRecentPeerAnswer(now time.Duration) bool {
	return a.peerAt >= 0 && now-a.peerAt <= maxAnswerGap
}

// recordFailedCall records that the store did not answer a call of this node. A call that was in
// progress when this node stopped watching is ignored.
func (s *System) recordFailedCall() {
	if s.watching.Instances || !s.watchStarted {
		s.answers.callFailed = true
	}
}

// recordOwnAnswer records an answer of the store to this node, before its rows are applied.
func (s *System) recordOwnAnswer(now time.Duration, out *state.Outbox) {
	a := &s.answers
	if a.callFailed {
		s.managed.ListAnsweredAgainAt = now
	}
	beganWatching := a.lastAt() >= 0 && a.lastAt() < a.watchedSince
	if a.callFailed && !a.hasRecentPeerAnswer(now) || beganWatching && !a.isContinuous(now) {
		s.inferOutage(now, out)
	}
	s.beginAnswers(now)
	a.ownAt, a.callFailed = now, false
}

// recordPeerAnswer records that the store answered a peer at a time.
func (s *System) recordPeerAnswer(now, at time.Duration, out *state.Outbox) {
	a := &s.answers
	if at <= a.lastAt() {
		a.peerAt = max(a.peerAt, at)
		return
	}
	if a.lastAt() >= 0 && !a.isContinuous(at) {
		s.inferOutage(now, out)
	}
	s.beginAnswers(now)
	a.peerAt = at
}

// beginAnswers records the first answer that this node knows of.
func (s *System) beginAnswers(now time.Duration) {
	if s.answers.unbrokenSince < 0 {
		s.answers.unbrokenSince = now
	}
}

// inferOutage records that the store may have been down since the last answer.
func (s *System) inferOutage(now time.Duration, out *state.Outbox) {
	a := &s.answers
	out.Log(event.StoreRecovered, slog.Duration("evidence_age", now-a.lastAt()), slog.Bool("own_call_failed", a.callFailed))
	a.inferred = &inferredOutage{lastAnswerAt: a.lastAt(), unbrokenSince: a.unbrokenSince, recoveredAt: s.managed.StoreRecoveredAt}
	s.managed.StoreRecoveredAt, a.unbrokenSince = now, now
}

// withdrawOutage takes back an inferred outage if the store has answered others without a break
// since before it. This node was then cut off, and what it has deferred is due.
func (s *System) withdrawOutage(now time.Duration, unbrokenFor time.Duration, out *state.Outbox) {
	inferred := s.answers.inferred
	if inferred == nil || inferred.lastAnswerAt < 0 || now-unbrokenFor > inferred.lastAnswerAt {
		return
	}
	s.managed.StoreRecoveredAt, s.answers.unbrokenSince, s.answers.inferred = inferred.recoveredAt, inferred.unbrokenSince, nil
	out.Log(event.StoreOutageWithdrawn, slog.Duration("unbroken_for", unbrokenFor))
	var deferred []state.HostID
	for id, ok := s.expiredInstances.Pop(now + entryReturnTime); ok; id, ok = s.expiredInstances.Pop(now + entryReturnTime) {
		deferred = append(deferred, id)
	}
	for _, id := range deferred {
		// It waits on if the outage before that is recent too.
		s.removeInstance(now, id, out)
	}
}

// restartAnswers records that the store has come back from a copy. The answers to peers before that
// show nothing.
func (s *System) restartAnswers(now time.Duration) {
	s.answers.inferred, s.answers.unbrokenSince = nil, now
}

// ownListAnswers returns what this node tells peers: when it was last answered itself, so that no
// node takes its own evidence for that of another, and how long the answers to all nodes have
// continued.
func (s *System) ownListAnswers(now time.Duration) *state.ListAnswers {
	a := &s.answers
	if a.lastAt() < 0 {
		return nil
	}
	answers := &state.ListAnswers{Age: never}
	if a.ownAt >= 0 {
		answers.Age = now - a.ownAt
	}
	if a.isContinuous(now) {
		answers.UnbrokenFor = now - a.unbrokenSince
	}
	return answers
}

// relayedListAnswers returns what a hub tells its leaves: the last answer to any node.
func (s *System) relayedListAnswers(now time.Duration) *state.ListAnswers {
	answers := s.ownListAnswers(now)
	if answers != nil {
		answers.Age = now - s.answers.lastAt()
	}
	return answers
}

// handleListAnswers handles what the status of a peer says about answers of the store. A peer in
// an earlier era of the store cannot tell whether it came back from a copy.
func (s *System) handleListAnswers(now time.Duration, status *state.PeerStatus, out *state.Outbox) {
	answers := status.ListAnswers
	if answers == nil {
		return
	}
	if answers.Age >= 0 {
		s.recordPeerAnswer(now, now-answers.Age, out)
	}
	if int(state.InstanceTable) < len(status.TableRevisions) && state.EraOf(status.TableRevisions[state.InstanceTable]) == s.managed.StoreEra {
		s.withdrawOutage(now, answers.UnbrokenFor, out)
	}
}
