package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// Limits of the calls that run at once. Each kind has its own, so that slow
// calls of one kind never hold up another: a platform that does not answer
// must not delay probes.
const (
	maxStoreCalls    = 64
	maxHostListCalls = 2
	maxProbeCalls    = 256
	maxLoadCalls     = 64
	maxOrderCalls    = 32
	// maxSlotWait is how long a call may wait for its turn. A later one is of no
	// use to the core, which has asked again.
	maxSlotWait = 2 * time.Second
)

// semaphore bounds the calls of one kind.
type semaphore chan struct{}

type callLimiter struct{ store, hostList, probe, load, order semaphore }

func newCallLimiter() callLimiter {
	return callLimiter{
		store: make(semaphore, maxStoreCalls), hostList: make(semaphore, maxHostListCalls), probe: make(semaphore, maxProbeCalls),
		load: make(semaphore, maxLoadCalls), order: make(semaphore, maxOrderCalls),
	}
}

func (l *callLimiter) semaphoreFor(out state.Output) semaphore {
	switch out.(type) {
	case state.StoreRequest:
		return l.store
	case state.FetchHosts:
		return l.hostList
	case state.Probe, state.FetchHostReport:
		return l.probe
	case state.FetchLoad:
		return l.load
	default:
		return l.order
	}
}

// run carries out an output when its lane has room.
func (l *callLimiter) run(ctx context.Context, d *Daemon, out state.Output) {
	slots := l.semaphoreFor(out)
	select {
	case slots <- struct{}{}:
	default:
		timer := time.NewTimer(maxSlotWait)
		defer timer.Stop()
		select {
		case slots <- struct{}{}:
		case <-timer.C:
			d.counters.Abandoned.Add(1)
			d.abandon(out)
			return
		case <-ctx.Done():
			return
		}
	}
	d.counters.Calls.Add(1)
	defer func() {
		d.counters.Calls.Add(-1)
		<-slots
	}()
	d.call(ctx, out)
}

// Counters counts the outgoing calls of the loop. It is safe for concurrent use.
type Counters struct {
	// Calls is the number of outgoing calls in progress.
	Calls atomic.Int64
	// Abandoned counts calls that found no room in time.
	Abandoned atomic.Int64
}

// Counters returns the counters of the daemon.
func (d *Daemon) Counters() *Counters { return &d.counters }

// QueuedInputs returns the number of inputs that wait for the loop.
func (d *Daemon) QueuedInputs() int { return len(d.inputs) }
