package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// Limits of concurrent calls. Each kind of call has its own limit, so that slow
// calls of one kind do not delay another: a platform that does not answer must not
// delay probes.
const (
	maxStoreCalls    = 64
	maxHostListCalls = 2
	maxProbeCalls    = 256
	maxLoadCalls     = 64
	maxOrderCalls    = 32
	// maxSlotWait is how long a call may wait for a slot. A later result is
	// useless, because the core has repeated its request by then.
	maxSlotWait = 2 * time.Second
)

// semaphore bounds the concurrent calls of one kind.
type semaphore chan struct{}

// callLimiter has a semaphore for each kind of call.
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

// run waits for a slot and then carries out an output. It abandons the output if
// none is free within maxSlotWait.
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

// Counters holds counts of the network calls of the loop. It is safe for
// concurrent use.
type Counters struct {
	// Calls is the number of calls in progress.
	Calls atomic.Int64
	// Abandoned counts calls that got no slot within maxSlotWait.
	Abandoned atomic.Int64
}

// Counters returns the counters of the daemon.
func (d *Daemon) Counters() *Counters { return &d.counters }

// QueuedInputs returns the number of inputs that are queued for the loop.
func (d *Daemon) QueuedInputs() int { return len(d.inputs) }
