// Package metric measures one entry daemon with VictoriaMetrics/metrics. The
// metrics of each component are declared in one file.
package metric

import (
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// Recorder measures a node. It has a set of its own, so that several nodes can
// run in one process. Step is called by the event loop only; the other methods
// are safe for concurrent use.
type Recorder struct {
	set      *metrics.Set
	requests *requestMetrics
	store    *storeMetrics
	peers    *peerMetrics
	core     *coreMetrics
	managed  *managedMetrics
}

// New returns a recorder without measurements.
func New() *Recorder {
	set := metrics.NewSet()
	return &Recorder{set: set, requests: newRequestMetrics(set), store: newStoreMetrics(set), peers: newPeerMetrics(set), core: newCoreMetrics(set), managed: newManagedMetrics(set)}
}

// Step records one step of the core: its time on the node's clock, its input,
// its outputs and how long it took.
func (r *Recorder) Step(now time.Duration, in state.Input, outputs []state.Output, elapsed time.Duration) {
	r.core.recordStep(elapsed)
	r.requests.recordInput(now, in)
	r.store.recordInput(now, in)
	r.managed.recordInput(in)
	for _, out := range outputs {
		r.requests.recordOutput(now, out)
		r.store.recordOutput(now, out)
		r.managed.recordOutput(out)
	}
}

// Write writes all metrics in the text format of Prometheus.
func (r *Recorder) Write(w io.Writer) {
	r.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
