package routing

import (
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// Scores are in units of the load of a target as a fraction of its limit; lower is
// better.
const (
	// otherDataCentrePenalty applies to other data centres of this node's region,
	// otherRegionPenalty to other regions.
	otherDataCentrePenalty = 0.02
	otherRegionPenalty     = 0.3
	// cacheBonus is subtracted for a prompt that is cached as a whole.
	cacheBonus = 0.5
	// stragglerFactor and stragglerPenalty reduce the work of a group with a straggler.
	stragglerFactor  = 2
	stragglerPenalty = 0.3
	// failedDataCentrePenalty and failedTargetPenalty make retries prefer another data
	// centre and another target.
	failedDataCentrePenalty = 100
	failedTargetPenalty     = 200
)

type scoredTarget struct {
	target *targetState
	score  float64
}

// setDistancePenalties sets the distance penalty of each data centre.
func (s *System) setDistancePenalties(doc *state.Document) {
	s.distancePenalties = map[state.DataCentre]float64{}
	ownRegion := ""
	for _, dc := range doc.DataCentres {
		if dc.Name == s.tables.Self.DataCentre {
			ownRegion = dc.Region
		}
	}
	for _, dc := range doc.DataCentres {
		switch {
		case dc.Name == s.tables.Self.DataCentre:
			s.distancePenalties[dc.Name] = 0
		case dc.Region == ownRegion:
			s.distancePenalties[dc.Name] = otherDataCentrePenalty
		default:
			s.distancePenalties[dc.Name] = otherRegionPenalty
		}
	}
}

// score returns the score of a target for a request. The data centre is that of the last
// failed attempt.
func (s *System) score(now time.Duration, target *targetState, req *state.Request, hits []cacheHit, lastFailedDataCentre state.DataCentre) float64 {
	row := target.row
	score := s.estimateLoad(now, target) / float64(row.Limit)
	if target.group != nil && target.group.Straggler {
		score = score*stragglerFactor + stragglerPenalty
	}
	score += target.distancePenalty
	for i := range hits {
		if hits[i].target == row.ID {
			score -= cacheBonus * hits[i].fraction
		}
	}
	if len(req.TriedTargets) > 0 {
		if row.DataCentre == lastFailedDataCentre {
			score += failedDataCentrePenalty
		}
		if slices.Contains(req.TriedTargets, row.ID) {
			score += failedTargetPenalty
		}
	}
	return score
}
