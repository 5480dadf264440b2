// Package daemon runs the event loop of a node. The loop feeds inputs from
// sockets, timers and calls to the decision core and carries out the outputs of
// the core.
package daemon

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
	"github.com/apricotgrade/apricotgrade/pkg/store"
	"github.com/apricotgrade/apricotgrade/pkg/target"
)

// inputBuffer is the number of inputs that can be queued for the loop.
const inputBuffer = 1024

// Exchange receives the core's decisions on one request of a caller. The loop
// calls its methods, so they must not block.
type Exchange interface {
	Start(state.StartAttempt)
	Cancel(state.CancelAttempt)
	Reply(state.Reply)
}

// HostClient carries out outputs that concern hosts of the platform. Execute
// returns the input that answers an output, or nil for an output that it does not
// support.
type HostClient interface {
	Execute(ctx context.Context, out state.Output) state.Input
}

// Links sends messages to peers. Its methods must not block.
type Links interface {
	SetPeers(state.SetPeers)
	Send(to state.NodeID, m state.Message)
}

// Daemon runs the event loop of one node.
type Daemon struct {
	node       *core.Node
	platform   store.Platform
	targets    *target.Client
	links      Links
	log        *slog.Logger
	observer   Observer
	hostClient HostClient
	// failedTicks counts the consecutive ticks that the core could not process.
	failedTicks int
	// onWatchTables is called when the tables that the node watches itself change.
	onWatchTables func(state.WatchTables)

	start            time.Time
	inputs           chan queuedInput
	lateness         lateness
	views            chan func(*state.Tables)
	submissions      chan submission
	exchanges        map[state.RequestID]Exchange
	operatorReplies  map[uint64]chan state.OperatorReply
	operatorRequests chan operatorRequest
	outcomeQueries   chan outcomeQuery
	outcomeReplies   map[uint64]chan state.OutcomeReply
	nextCommandID    uint64
	nextQueryID      uint64
	limiter          callLimiter
	counters         Counters
	ready            atomic.Bool
	draining         atomic.Bool
	snapshot         atomic.Pointer[Snapshot]
	stopping         chan struct{}
	done             chan struct{}
}

// submission is a request of a caller on its way to the loop.
type submission struct {
	arrival  state.RequestArrived
	exchange Exchange
}

// operatorRequest is an operator's command on its way to the loop.
type operatorRequest struct {
	command state.OperatorCommand
	reply   chan state.OperatorReply
}

// New returns a daemon. A node without peers passes nil for links.
func New(node *core.Node, p store.Platform, targets *target.Client, links Links, log *slog.Logger) *Daemon {
	d := &Daemon{
		node: node, platform: p, targets: targets, links: links, log: log, limiter: newCallLimiter(),
		start:            time.Now(),
		inputs:           make(chan queuedInput, inputBuffer),
		views:            make(chan func(*state.Tables)),
		submissions:      make(chan submission),
		operatorRequests: make(chan operatorRequest),
		outcomeQueries:   make(chan outcomeQuery),
		outcomeReplies:   map[uint64]chan state.OutcomeReply{},
		exchanges:        map[state.RequestID]Exchange{},
		operatorReplies:  map[uint64]chan state.OperatorReply{},
		stopping:         make(chan struct{}),
		done:             make(chan struct{}),
	}
	d.snapshot.Store(&Snapshot{})
	return d
}

// SetHostClient sets the client that carries out orders to hosts and requests for
// host reports. It must be called before Run.
func (d *Daemon) SetHostClient(c HostClient) { d.hostClient = c }

// OnWatchTables sets the function that receives which of the store's tables this
// node watches itself. It must be called before Run, and the function must not
// block.
func (d *Daemon) OnWatchTables(f func(state.WatchTables)) { d.onWatchTables = f }

// Feed queues an input for the core. It blocks while the queue is full and does
// nothing after the loop has ended.
func (d *Daemon) Feed(in state.Input) {
	select {
	case d.inputs <- queuedInput{in, d.Now()}:
	case <-d.done:
	}
}

// Submit passes a request of a caller to the core.
func (d *Daemon) Submit(arrival state.RequestArrived, exchange Exchange) {
	select {
	case d.submissions <- submission{arrival, exchange}:
	case <-d.done:
	}
}

// Operate passes an operator's command to the core and waits for its reply.
func (d *Daemon) Operate(ctx context.Context, command state.OperatorCommand) (state.OperatorReply, error) {
	reply := make(chan state.OperatorReply, 1)
	select {
	case d.operatorRequests <- operatorRequest{command, reply}:
	case <-ctx.Done():
		return state.OperatorReply{}, ctx.Err()
	}
	select {
	case r := <-reply:
		return r, nil
	case <-ctx.Done():
		return state.OperatorReply{}, ctx.Err()
	}
}

// View runs a function on the tables inside the loop and waits for its end. The
// function must neither change the tables nor keep references to them.
func (d *Daemon) View(f func(*state.Tables)) {
	finished := make(chan struct{})
	select {
	case d.views <- func(t *state.Tables) { f(t); close(finished) }:
		<-finished
	case <-d.done:
	}
}

// Ready reports whether the load balancer may send requests to this node.
func (d *Daemon) Ready() bool { return d.ready.Load() }

// Stopping returns a channel that is closed when the node must stop accepting
// callers.
func (d *Daemon) Stopping() <-chan struct{} { return d.stopping }

// Done returns a channel that is closed when the loop has ended.
func (d *Daemon) Done() <-chan struct{} { return d.done }

// Run runs the loop until a graceful shutdown has ended, or until the context is
// cancelled, which cuts off running requests.
func (d *Daemon) Run(ctx context.Context) {
	defer close(d.done)
	ticker := time.NewTicker(state.TickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case due := <-ticker.C:
			if d.stepAfter(ctx, state.Tick{}, time.Since(due)) {
				return
			}
		case in := <-d.inputs:
			if d.stepAfter(ctx, in.Input, d.Now()-in.queuedAt) {
				return
			}
		case s := <-d.submissions:
			if d.accept(s) && d.step(ctx, s.arrival) {
				return
			}
		case o := <-d.operatorRequests:
			d.nextCommandID++
			o.command.ID = d.nextCommandID
			d.operatorReplies[o.command.ID] = o.reply
			if d.step(ctx, o.command) {
				return
			}
		case q := <-d.outcomeQueries:
			if d.step(ctx, d.registerQuery(q)) {
				return
			}
		case f := <-d.views:
			f(d.node.Tables())
		}
	}
}

// accept registers the exchange of a request. It refuses a request whose ID is in
// use, so that no answer reaches the wrong exchange.
func (d *Daemon) accept(s submission) bool {
	id := s.arrival.ID
	if d.exchanges[id] != nil || d.node.Tables().Requests.Get(id) != nil {
		s.exchange.Reply(state.Reply{Request: id, Refusal: apierror.New(apierror.KindConflict, "request_id_in_use",
			"another request has this X-Request-Id; send a new id or none", apierror.NotRun)})
		return false
	}
	d.exchanges[id] = s.exchange
	return true
}

// stepAfter is step for an input that has waited for the event loop.
func (d *Daemon) stepAfter(ctx context.Context, in state.Input, waited time.Duration) (exit bool) {
	start := d.Now()
	exit = d.step(ctx, in)
	d.lateness.record(ctx, d, in, waited, d.Now()-start)
	if d.observer != nil {
		d.observer.InputWaited(waited)
	}
	return exit
}

func (d *Daemon) step(ctx context.Context, in state.Input) (exit bool) {
	for _, out := range d.stepSafely(ctx, in) {
		if d.execute(ctx, out) {
			exit = true
		}
	}
	return exit
}

func (d *Daemon) execute(ctx context.Context, out state.Output) (exit bool) {
	switch out := out.(type) {
	case state.StartAttempt:
		if e := d.exchanges[out.Request]; e != nil {
			e.Start(out)
		}
	case state.CancelAttempt:
		if e := d.exchanges[out.Request]; e != nil {
			e.Cancel(out)
		}
	case state.Reply:
		if e := d.exchanges[out.Request]; e != nil {
			delete(d.exchanges, out.Request)
			e.Reply(out)
		}
	case state.OperatorReply:
		if c := d.operatorReplies[out.ID]; c != nil {
			delete(d.operatorReplies, out.ID)
			c <- out
		}
	case state.OutcomeReply:
		if c := d.outcomeReplies[out.ID]; c != nil {
			delete(d.outcomeReplies, out.ID)
			c <- out
		}
	case state.SetPeers:
		if d.links != nil {
			d.links.SetPeers(out)
		}
	case state.SendPeer:
		if d.links != nil {
			d.links.Send(out.To, out.Message)
		}
	case state.WatchTables:
		if d.onWatchTables != nil {
			d.onWatchTables(out)
		}
	case state.SetReadiness:
		d.ready.Store(out.Ready)
	case state.StopAccepting:
		close(d.stopping)
	case state.ExitReady:
		return true
	case state.LogEvent:
		event.Log(ctx, d.log, out.Event, out.Attrs...)
	default:
		go d.limiter.run(ctx, d, out)
	}
	return false
}
