package routing

import (
	"log/slog"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/rendezvous"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

const (
	// doubleAfter is the work, in multiples of the cold limit, after which the
	// limit of a target doubles.
	doubleAfter = 4
	// reportFor is how long a load report holds. A target that started again
	// since an older report would still count as warm.
	reportFor = 3 * time.Second
	// slowFirst is how many times the usual time a first token takes at a
	// target that turned cold.
	slowFirst = 5
	// minSlowFirst keeps scheduling noise of fast engines from counting.
	minSlowFirst = 50 * time.Millisecond
	// minFirstTokens is the number of first tokens that make a usual time.
	minFirstTokens = 8
	// firstTokenWeight is the weight of one first token in the usual time.
	firstTokenWeight = 16
)

// limit sets the limit of a target and this node's share of it. The limit
// depends only on the target's own report, so that all nodes compute the same.
func (s *System) limit(now time.Duration, tr *track) {
	row := tr.row
	limit := row.ColdLimit
	if tr.hasReport && now-row.ReportAt < reportFor && !row.Report.Cold {
		limit = rampUp(row.ColdLimit, row.WarmLimit, row.Report.Completed-row.ColdBaseline)
	}
	share := s.share(tr, limit)
	if limit == row.Limit && share == row.Share {
		return
	}
	s.grew = s.grew || share > row.Share || limit > row.Limit
	row.Limit, row.Share = limit, share
	s.t.Targets.Touch(row.ID)
}

// rampUp doubles the cold limit with each batch of completed work.
func rampUp(cold, warm int, completed int64) int {
	limit := cold
	if cold <= 0 {
		return warm
	}
	for steps := completed / int64(cold*doubleAfter); steps > 0 && limit < warm; steps-- {
		limit *= 2
	}
	return min(limit, warm)
}

// share returns this node's fixed part of a limit. While a registry change is
// not accepted, some nodes still use the old registry, so the smaller of both
// parts keeps the sum within the limit.
func (s *System) share(tr *track, limit int) int {
	c := &s.t.Config
	if s.t.Switches.IgnoreShares {
		return limit
	}
	share := part(limit, len(c.Head.Nodes), tr.rank)
	if c.AcceptedVersion < c.Head.Version {
		share = min(share, part(limit, len(c.PreviousNodes), tr.oldRank))
	}
	return share
}

// part is the integer quotient, and one of the remainder for the first nodes in
// rendezvous order. Without any registered node nobody shares the limit.
func part(limit, nodes, rank int) int {
	switch {
	case nodes == 0:
		return limit
	case rank < 0:
		return 0
	case rank < limit%nodes:
		return limit/nodes + 1
	default:
		return limit / nodes
	}
}

// rank returns this node's place in the rendezvous order of a registry for a
// target, or -1 when it is not registered.
func (s *System) rank(id state.TargetID, nodes []state.NodeEntry) int {
	own, rank, registered := rendezvous.Score(string(id), s.t.Self.ID), 0, false
	for _, n := range nodes {
		if n.ID == s.t.Self.ID {
			registered = true
			continue
		}
		if rendezvous.Before(rendezvous.Score(string(id), n.ID), n.ID, own, s.t.Self.ID) {
			rank++
		}
	}
	if !registered {
		return -1
	}
	return rank
}

// hasRoom reports whether this node may send one more request. On a warm target
// it may borrow what the others have reported not to use.
func (s *System) hasRoom(tr *track) bool {
	row := tr.row
	if row.InFlight < row.Share {
		return true
	}
	c := &s.t.Config
	nodes := len(c.Head.Nodes)
	if row.Limit < row.WarmLimit || nodes == 0 || tr.rank < 0 || c.AcceptedVersion < c.Head.Version {
		return false
	}
	// A peer that was not heard of counts with its whole share.
	others := row.PeerInFlight + s.unheard*((row.Limit+nodes-1)/nodes)
	return row.InFlight+others < row.Limit
}

// turnCold lowers the limit of a target at the first sign of a cold start.
func (s *System) turnCold(now time.Duration, tr *track, out *state.Outbox) {
	row := tr.row
	if s.t.Switches.IgnoreColdSigns {
		return
	}
	if row.Limit > row.ColdLimit {
		s.t.Counters.ColdTransitions++
		out.Log(event.TargetCold, slog.String("target", string(row.ID)))
	}
	row.ColdBaseline = row.Report.Completed
	s.limit(now, tr)
}

// firstToken compares the time to the first token with the usual time.
func (s *System) firstToken(now time.Duration, tr *track, took time.Duration, out *state.Outbox) {
	if tr.row.Model == "" {
		return
	}
	if tr.firstTokens >= minFirstTokens && took >= minSlowFirst && took >= slowFirst*tr.usualFirst {
		s.turnCold(now, tr, out)
	}
	tr.firstTokens++
	n := min(tr.firstTokens, firstTokenWeight)
	tr.usualFirst += (took - tr.usualFirst) / time.Duration(n)
}
