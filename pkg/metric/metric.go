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
	requests *requests
	store    *store
	peers    *peers
	core     *core
	managed  *managed
}

// New returns a recorder without measurements.
func New() *Recorder {
	set := metrics.NewSet()
	return &Recorder{set: set, requests: newRequests(set), store: newStore(set), peers: newPeers(set), core: newCore(set), managed: newManaged(set)}
}

// Step records one step of the core: its time on the node's clock, its input,
// its outputs and how long it took.
func (r *Recorder) Step(now time.Duration, in state.Input, outputs []state.Output, took time.Duration) {
	r.core.step(took)
	r.requests.input(now, in)
	r.store.input(now, in)
	r.managed.input(in)
	for _, out := range outputs {
		r.requests.output(now, out)
		r.store.output(now, out)
		r.managed.output(out)
	}
}

// Write writes all metrics in the text format of Prometheus.
func (r *Recorder) Write(w io.Writer) {
	r.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
