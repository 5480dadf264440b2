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
	storeCalls = 64
	hostCalls  = 2
	probeCalls = 256
	loadCalls  = 64
	orderCalls = 32
	// laneWait is how long a call may wait for its turn. A later one is of no
	// use to the core, which has asked again.
	laneWait = 2 * time.Second
)

// lane bounds the calls of one kind.
type lane chan struct{}

type lanes struct{ store, hosts, probe, load, order lane }

func newLanes() lanes {
	return lanes{
		store: make(lane, storeCalls), hosts: make(lane, hostCalls), probe: make(lane, probeCalls),
		load: make(lane, loadCalls), order: make(lane, orderCalls),
	}
}

func (l *lanes) of(out state.Output) lane {
	switch out.(type) {
	case state.StoreRequest:
		return l.store
	case state.FetchHosts:
		return l.hosts
	case state.Probe, state.FetchHostReport:
		return l.probe
	case state.FetchLoad:
		return l.load
	default:
		return l.order
	}
}

// run carries out an output when its lane has room.
func (l *lanes) run(ctx context.Context, d *Daemon, out state.Output) {
	own := l.of(out)
	select {
	case own <- struct{}{}:
	default:
		timer := time.NewTimer(laneWait)
		defer timer.Stop()
		select {
		case own <- struct{}{}:
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
		<-own
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

// Waiting returns the number of inputs that wait for the loop.
func (d *Daemon) Waiting() int { return len(d.inputs) }
