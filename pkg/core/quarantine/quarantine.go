package quarantine

import (
	"log/slog"
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

const (
	// maxCrashesPerMessage bounds a report, and maxCrashesAtLinkUp the evidence that a
	// peer gets when its link comes up.
	maxCrashesPerMessage = 64
	maxCrashesAtLinkUp   = 512
)

// System is the quarantine system. It reads the rows of Requests as they were before
// the input, so it comes before the dispatch system. It writes Quarantined and
// QuarantineVersion of Managed.
//
// The evidence is spread to all nodes as it arises. It is rare: a crash has one entry
// for each trait of the few requests that a process may have ended with, and a clear is
// sent only for a crash that is known.
type System struct {
	tables  *state.Tables
	managed *state.ManagedState
	ledger  *Ledger
	rows    rowKeeper
	// suspicions holds losses that are evidence once their process has ended.
	suspicions suspicions
	// beginnings holds the answers that have just begun.
	beginnings beginnings
	// lift is the operator's command in progress, nil if there is none.
	lift *lift
}

// New returns the quarantine system.
func New(t *state.Tables) *System {
	s := &System{tables: t, managed: t.Managed, ledger: NewLedger(), rows: rowKeeper{known: map[string]state.Trait{}}, suspicions: suspicions{}, beginnings: newBeginnings()}
	s.managed.Quarantined = s.ledger.Quarantined()
	return s
}

// Step implements state.System.
func (s *System) Step(now time.Duration, in state.Input, out *state.Outbox) {
	from := state.NodeID("")
	s.readRows(now, out)
	s.confirmBeginnings(now, out)
	switch in := in.(type) {
	case state.AttemptEvent:
		s.handleAttemptEvent(now, in, out)
	case state.PeerMessage:
		if report := in.Message.TraitReport; report != nil {
			from = in.From
			s.spread(s.ledger.Merge(now, report.Crashes), from, out)
		}
	case state.PeerLinkChanged:
		if in.Up {
			send(s.ledger.Crashes(maxCrashesAtLinkUp), in.Peer, out)
		}
	case state.OperatorCommand:
		s.handleCommand(now, in, out)
	case state.StoreReply:
		s.handleStoreReply(now, in, out)
	case state.Tick:
		for trait, at := range s.managed.QuarantinedArrivals {
			s.ledger.Arrive(at, trait)
		}
		s.ledger.Tick(now)
		s.confirmSuspicions(now, out)
		s.writeRows(now, out)
	}
	s.logTransitions(from, out)
}

// handleAttemptEvent adds what an attempt shows on the traits of its request.
func (s *System) handleAttemptEvent(now time.Duration, ev state.AttemptEvent, out *state.Outbox) {
	key := attemptKey{ev.Request, ev.Attempt}
	if ev.Stage == state.AttemptEnded && ev.Failure != state.FailureCancelled {
		defer s.beginnings.remove(key)
	}
	req := s.tables.Requests.Get(ev.Request)
	if req == nil || len(req.Traits) == 0 {
		return
	}
	attempt, open := req.OpenAttempt(ev.Attempt)
	if !open {
		return
	}
	process := Process{Host: state.HostID(attempt.Target), StartID: attempt.StartID}
	switch momentOf(req, ev, s.beginnings.has(key)) {
	case beginning:
		s.suspicions.clear(process, attempt.SentAt)
		s.beginnings.add(key, answerBeginning{process: process, sentAt: attempt.SentAt, firstEventAt: now, traits: req.Traits})
	case completed:
		s.suspicions.clear(process, attempt.SentAt)
		s.spread(s.ledger.Start(now, process, attempt.SentAt, req.Traits), "", out)
	case answered:
		s.suspicions.clear(process, attempt.SentAt)
		s.spread(s.ledger.Start(now, process, attempt.SentAt, ofKind(req.Traits, state.RequestTrait)), "", out)
	case lostAtBeginning:
		s.spread(s.ledger.Crash(now, process, req.Traits), "", out)
	case lostBeforeHead:
		s.recordHeadlessLoss(now, process, req.Traits)
	}
}

// confirmBeginnings counts the answers that have gone on for beginningTime as starts.
func (s *System) confirmBeginnings(now time.Duration, out *state.Outbox) {
	for _, b := range s.beginnings.takeBefore(now - beginningTime) {
		s.spread(s.ledger.Start(now, b.process, b.sentAt, b.traits), "", out)
	}
}

func ofKind(traits []state.Trait, kind state.TraitKind) []state.Trait {
	return slices.DeleteFunc(slices.Clone(traits), func(t state.Trait) bool { return t.Kind != kind })
}

// spread sends evidence to all nodes.
func (s *System) spread(crashes []state.TraitCrash, from state.NodeID, out *state.Outbox) {
	if len(crashes) == 0 {
		return
	}
	for _, id := range s.managed.RelayTargets(s.tables.Self.ID, from) {
		send(crashes, id, out)
	}
}

func send(crashes []state.TraitCrash, to state.NodeID, out *state.Outbox) {
	for chunk := range slices.Chunk(crashes, maxCrashesPerMessage) {
		out.Add(state.SendPeer{To: to, Message: state.Message{TraitReport: &state.TraitReport{Crashes: chunk}}})
	}
}

// logTransitions logs the quarantines that have begun, gone on after a trial or ended in this
// step. from is the peer whose report led to it, empty for this node.
func (s *System) logTransitions(from state.NodeID, out *state.Outbox) {
	for _, t := range s.ledger.Transitions() {
		name, begun, ended := "part", event.PromptPartQuarantined, event.PromptPartReleased
		if t.Trait.Kind == state.RequestTrait {
			name, begun, ended = "fingerprint", event.RequestQuarantined, event.RequestReleased
		}
		trait := slog.String(name, t.Trait.String())
		if t.Quarantined {
			s.managed.QuarantineVersion++
			out.Log(begun, trait, slog.Int("targets", t.Targets), slog.Bool("tried", t.Tried), slog.String("from", string(from)))
			continue
		}
		out.Log(ended, trait, slog.Bool("reviewed", t.Reviewed), slog.String("from", string(from)))
	}
}
