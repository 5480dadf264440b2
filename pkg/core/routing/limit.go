package routing

import (
	"log/slog"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/rendezvous"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

const (
	// coldLimitsPerDoubling is the work, in multiples of the cold limit, after which the
	// limit of a target doubles.
	coldLimitsPerDoubling = 4
	// maxReportAge is how long a load report holds. A target that started again
	// since an older report would still count as warm.
	maxReportAge = 3 * time.Second
	// slowFirstTokenFactor is how many times the usual time a first token takes at a
	// target that turned cold.
	slowFirstTokenFactor = 5
	// minSlowFirstToken keeps scheduling noise of fast engines from counting.
	minSlowFirstToken = 50 * time.Millisecond
	// minFirstTokenSamples is the number of first tokens that make a usual time.
	minFirstTokenSamples = 8
	// firstTokenDivisor is the weight of one first token in the usual time.
	firstTokenDivisor = 16
)

// updateLimit sets the limit of a target and this node's share of it. The limit
// depends only on the target's own report, so that all nodes compute the same.
func (s *System) updateLimit(now time.Duration, target *targetState) {
	row := target.row
	limit := row.ColdLimit
	if target.hasReport && now-row.ReportAt < maxReportAge && !row.Report.Cold {
		limit = rampedLimit(row.ColdLimit, row.WarmLimit, row.Report.Completed-row.ColdBaseline)
	}
	share := s.computeShare(target, limit)
	if limit == row.Limit && share == row.Share {
		return
	}
	s.capacityGrew = s.capacityGrew || share > row.Share || limit > row.Limit
	row.Limit, row.Share = limit, share
	s.tables.Targets.Touch(row.ID)
}

// rampedLimit doubles the cold limit with each batch of completed work.
func rampedLimit(coldLimit, warmLimit int, completed int64) int {
	limit := coldLimit
	if coldLimit <= 0 {
		return warmLimit
	}
	for doublings := completed / int64(coldLimit*coldLimitsPerDoubling); doublings > 0 && limit < warmLimit; doublings-- {
		limit *= 2
	}
	return min(limit, warmLimit)
}

// computeShare returns this node's fixed part of a limit. While a registry change is
// not accepted, some nodes still use the old registry, so the smaller of both
// parts keeps the sum within the limit.
func (s *System) computeShare(target *targetState, limit int) int {
	c := &s.tables.Config
	if s.tables.Switches.IgnoreShares {
		return limit
	}
	share := shareOf(limit, len(c.Head.Nodes), target.rank)
	if c.AcceptedVersion < c.Head.Version {
		share = min(share, shareOf(limit, len(c.PreviousNodes), target.previousRank))
	}
	return share
}

// shareOf is the integer quotient, and one of the remainder for the first nodes in
// rendezvous order. Without any registered node nobody shares the limit.
func shareOf(limit, nodes, rank int) int {
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

// nodeRank returns this node's place in the rendezvous order of a registry for a
// target, or -1 when it is not registered.
func (s *System) nodeRank(id state.TargetID, nodes []state.NodeEntry) int {
	ownScore, rank, registered := rendezvous.Score(string(id), s.tables.Self.ID), 0, false
	for _, n := range nodes {
		if n.ID == s.tables.Self.ID {
			registered = true
			continue
		}
		if rendezvous.Before(rendezvous.Score(string(id), n.ID), n.ID, ownScore, s.tables.Self.ID) {
			rank++
		}
	}
	if !registered {
		return -1
	}
	return rank
}

// hasCapacity reports whether this node may send one more request. On a warm target
// it may borrow what the others have reported not to use.
func (s *System) hasCapacity(target *targetState) bool {
	row := target.row
	if row.InFlight < row.Share {
		return true
	}
	c := &s.tables.Config
	nodes := len(c.Head.Nodes)
	if row.Limit < row.WarmLimit || nodes == 0 || target.rank < 0 || c.AcceptedVersion < c.Head.Version {
		return false
	}
	// A peer that was not heard of counts with its whole share.
	othersInFlight := row.PeerInFlight + s.stalePeers*((row.Limit+nodes-1)/nodes)
	return row.InFlight+othersInFlight < row.Limit
}

// resetToCold lowers the limit of a target at the first sign of a cold start.
func (s *System) resetToCold(now time.Duration, target *targetState, out *state.Outbox) {
	row := target.row
	if s.tables.Switches.IgnoreColdSigns {
		return
	}
	if row.Limit > row.ColdLimit {
		s.tables.Counters.ColdTransitions++
		out.Log(event.TargetCold, slog.String("target", string(row.ID)))
	}
	row.ColdBaseline = row.Report.Completed
	s.updateLimit(now, target)
}

// recordFirstToken compares the time to the first token with the usual time.
func (s *System) recordFirstToken(now time.Duration, target *targetState, firstTokenTime time.Duration, out *state.Outbox) {
	if target.row.Model == "" {
		return
	}
	if target.firstTokenCount >= minFirstTokenSamples && firstTokenTime >= minSlowFirstToken && firstTokenTime >= slowFirstTokenFactor*target.meanFirstTokenTime {
		s.resetToCold(now, target, out)
	}
	target.firstTokenCount++
	divisor := min(target.firstTokenCount, firstTokenDivisor)
	target.meanFirstTokenTime += (firstTokenTime - target.meanFirstTokenTime) / time.Duration(divisor)
}
