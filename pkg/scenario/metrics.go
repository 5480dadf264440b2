package scenario

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const samplePeriod = 50 * time.Millisecond

// Metrics counts what happened in a world.
type Metrics struct {
	Attempts int
	Answered int
	// Refused counts refusals by code.
	Refused map[string]int
	// Overloads counts starts on engines beyond what they bear, ColdOverloads
	// those on engines below their warm limit.
	Overloads     int
	ColdOverloads int
	// Downtime is the sum over declared groups of the time in which they were
	// not whole; Stranded is the sum over healthy hosts of the time in which
	// they were in no whole group.
	Downtime time.Duration
	Stranded time.Duration
	// PeerMessages and PeerBytes count messages between nodes, the bytes only
	// with Options.MeasureBytes.
	PeerMessages int
	PeerBytes    int
	// Latencies are those of whole answers.
	Latencies []time.Duration
	// LastSent is when new work last left for each data centre.
	LastSent map[state.DataCentre]time.Duration
}

func (m *Metrics) recordSend(dc state.DataCentre, now time.Duration) {
	if m.LastSent == nil {
		m.LastSent = map[state.DataCentre]time.Duration{}
	}
	m.LastSent[dc] = now
}

func (sim *World) countMessage(msg state.Message) {
	m := &sim.Metrics
	m.PeerMessages++
	if !sim.Options.MeasureBytes {
		return
	}
	if b, err := cbor.Marshal(msg); err == nil {
		m.PeerBytes += len(b)
	}
}

func (m *Metrics) recordEnd(r *Request) {
	if r.Refusal != nil {
		if m.Refused == nil {
			m.Refused = map[string]int{}
		}
		m.Refused[r.Refusal.Code]++
		return
	}
	m.Answered++
	m.Latencies = append(m.Latencies, r.EndedAt-r.SentAt)
}

// sampleHealth samples the groups and hosts.
func (sim *World) sampleHealth() {
	sim.Checks.updateMissing()
	serving := map[state.HostID]bool{}
	healthyGroups := 0
	for id, row := range sim.Checks.groupRows {
		if _, missing := sim.Checks.memberMissingSince(id); missing {
			continue
		}
		healthyGroups++
		for _, member := range row.Members {
			serving[member] = true
		}
	}
	sim.Metrics.Downtime += time.Duration(sim.Options.Groups-healthyGroups) * samplePeriod
	for _, e := range sim.Engines {
		if e.Alive && !e.Paused && !serving[e.Host.ID] {
			sim.Metrics.Stranded += samplePeriod
		}
	}
}
