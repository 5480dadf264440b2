// Package metric records the metrics of one entry daemon with
// VictoriaMetrics/metrics. Each component has a file with its metrics.
package metric

import (
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// Recorder records the metrics of a node. Each recorder has its own metrics.Set,
// so that several nodes can run in one process. Only the event loop may call
// Step; the other methods are safe for concurrent use.
type Recorder struct {
	set      *metrics.Set
	requests *requestMetrics
	store    *storeMetrics
	peers    *peerMetrics
	core     *coreMetrics
	managed  *managedMetrics
	routed   *routedMetrics
}

// New returns a recorder whose counters are zero.
func New() *Recorder {
	set := metrics.NewSet()
	return &Recorder{
		set: set, requests: newRequestMetrics(set), store: newStoreMetrics(set), peers: newPeerMetrics(set), core: newCoreMetrics(set),
		managed: newManagedMetrics(set), routed: newRoutedMetrics(set),
	}
}

// Step records one step of the core: its start time on the node's clock, its
// input, its outputs and its duration.
func (r *Recorder) Step(now time.Duration, in state.Input, outputs []state.Output, elapsed time.Duration) {
	r.core.recordStep(in, elapsed)
	r.requests.recordInput(now, in)
	r.store.recordInput(now, in)
	r.managed.recordInput(in)
	for _, out := range outputs {
		r.requests.recordOutput(now, out)
		r.store.recordOutput(now, out)
		r.managed.recordOutput(out)
	}
}

// Write writes all metrics, including those of the process, in the Prometheus
// text format.
func (r *Recorder) Write(w io.Writer) {
	r.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
