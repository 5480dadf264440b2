package scenario

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const samplePeriod = 50 * time.Millisecond

// Metrics holds counters and times of a simulation.
type Metrics struct {
	Attempts int
	Answered int
	// RefusalsByCode counts refusals by code.
	RefusalsByCode map[string]int
	// Overloads counts attempts that started above the limit of an engine, and
	// ColdOverloads those of them on engines below their warm limit.
	Overloads     int
	ColdOverloads int
	// Downtime is the total time in which declared groups were not healthy. StrandedTime
	// is the total time in which running hosts were in no healthy group.
	Downtime     time.Duration
	StrandedTime time.Duration
	// PeerMessages and PeerBytes count messages between nodes and their encoded
	// bytes. Bytes are counted only with Options.MeasureBytes.
	PeerMessages int
	PeerBytes    int
	// Latencies holds the latency of each request that ended without a refusal.
	Latencies []time.Duration
	// LastAttemptAt is the time of the last attempt that was sent to each data centre.
	LastAttemptAt map[state.DataCentre]time.Duration
}

func (m *Metrics) recordSend(dc state.DataCentre, now time.Duration) {
	if m.LastAttemptAt == nil {
		m.LastAttemptAt = map[state.DataCentre]time.Duration{}
	}
	m.LastAttemptAt[dc] = now
}

func (sim *Simulation) countMessage(msg state.Message) {
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
		if m.RefusalsByCode == nil {
			m.RefusalsByCode = map[string]int{}
		}
		m.RefusalsByCode[r.Refusal.Code]++
		return
	}
	m.Answered++
	m.Latencies = append(m.Latencies, r.EndedAt-r.SentAt)
}

// sampleHealth adds one sample of the groups and hosts to Downtime and StrandedTime.
func (sim *Simulation) sampleHealth() {
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
			sim.Metrics.StrandedTime += samplePeriod
		}
	}
}
