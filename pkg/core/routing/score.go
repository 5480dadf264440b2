package routing

import (
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// Scores are in units of the load of a target as a part of its limit; lower is
// better.
const (
	// otherDataCentre and otherRegion price the distance.
	otherDataCentre = 0.02
	otherRegion     = 0.3
	// cacheWorth is the worth of a prompt whose whole prefix is cached.
	cacheWorth = 0.5
	// stragglerFactor and stragglerCost give a slow group less work.
	stragglerFactor = 2
	stragglerCost   = 0.3
	// failedDataCentre and failedTarget put retries elsewhere first.
	failedDataCentre = 100
	failedTarget     = 200
)

type scored struct {
	tr    *track
	score float64
}

// measure sets the distance of each data centre.
func (s *System) measure(doc *state.Document) {
	s.distance = map[state.DataCentre]float64{}
	own := ""
	for _, dc := range doc.DataCentres {
		if dc.Name == s.t.Self.DataCentre {
			own = dc.Region
		}
	}
	for _, dc := range doc.DataCentres {
		switch {
		case dc.Name == s.t.Self.DataCentre:
			s.distance[dc.Name] = 0
		case dc.Region == own:
			s.distance[dc.Name] = otherDataCentre
		default:
			s.distance[dc.Name] = otherRegion
		}
	}
}

// score rates a target for a request. Hits are the parts of the prompt that
// targets have cached, weighted by age.
func (s *System) score(now time.Duration, tr *track, req *state.Request, hits []hit, failed state.DataCentre) float64 {
	row := tr.row
	score := s.load(now, tr) / float64(row.Limit)
	if tr.group != nil && tr.group.Straggler {
		score = score*stragglerFactor + stragglerCost
	}
	score += tr.distance
	for i := range hits {
		if hits[i].target == row.ID {
			score -= cacheWorth * hits[i].part
		}
	}
	if len(req.TriedTargets) > 0 {
		if row.DataCentre == failed {
			score += failedDataCentre
		}
		if slices.Contains(req.TriedTargets, row.ID) {
			score += failedTarget
		}
	}
	return score
}
