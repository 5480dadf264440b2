package routing

import (
	"log/slog"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/rendezvous"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

const (
	// coldLimitsPerDoubling is the number of completed requests, in multiples of the
	// cold limit, after which the limit of a target doubles.
	coldLimitsPerDoubling = 4
	// maxReportAge is how long a load report is valid. With an older report, a target
	// that has restarted since then would still count as warm.
	maxReportAge = 3 * time.Second
	// slowFirstTokenFactor is the multiple of the average time to the first token from
	// which a target counts as cold.
	slowFirstTokenFactor = 5
	// minSlowFirstToken is the shortest time to the first token that counts as slow.
	// Shorter times can be scheduling noise of fast engines.
	minSlowFirstToken = 50 * time.Millisecond
	// minFirstTokenSamples is the number of first tokens after which the average is
	// known.
	minFirstTokenSamples = 8
	// firstTokenDivisor is the inverse weight of one first token in the moving average.
	firstTokenDivisor = 16
)

// updateLimit sets the limit of a target and this node's share of it. The limit depends
// only on the target's own report, so that all nodes compute the same limit.
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

// rampedLimit returns the cold limit, doubled for each batch of completed requests, up
// to the warm limit.
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

// computeShare returns this node's fixed share of a limit. Until a registry change is
// accepted, some nodes still use the previous registry, and the smaller of both shares
// keeps the sum of all shares within the limit.
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

// shareOf returns the share of the node with a given rank: the integer quotient of limit
// and nodes, plus one of the remainder for the first nodes in rendezvous order. Without
// registered nodes it returns the whole limit, and without a rank 0.
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

// nodeRank returns the rank of this node in the rendezvous order of a registry for a
// target, or -1 when this node is not registered.
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

// hasCapacity reports whether this node may send one more request to a target. On a warm
// target it may borrow capacity that the other nodes have reported as unused.
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
	// A peer without recent counts is assumed to use its whole share.
	othersInFlight := row.PeerInFlight + s.stalePeers*((row.Limit+nodes-1)/nodes)
	return row.InFlight+othersInFlight < row.Limit
}

// resetToCold lowers the limit of a target to the cold limit at the first sign of a cold
// start.
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

// recordFirstToken treats a model target as cold when its time to the first token is far
// above the average, and updates the average.
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
