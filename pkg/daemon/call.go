package daemon

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/store"
)

// storeTimeout bounds a call to the platform. The effect of a call that takes
// longer is unknown.
const storeTimeout = 2 * time.Second

// call carries out an output that needs a network call, and feeds the answer to
// the core.
func (d *Daemon) call(ctx context.Context, out state.Output) {
	defer d.logPanic(ctx, out)
	switch out := out.(type) {
	case state.StoreRequest:
		d.callStore(ctx, out)
	case state.FetchHosts:
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		if hosts, err := d.platform.List(ctx); err == nil {
			d.Feed(state.HostList{Hosts: hosts})
		}
	case state.Probe:
		answer, err := d.targets.Probe(ctx, out.Address)
		d.Feed(state.ProbeResult{Host: out.Host, SentAt: out.SentAt, OK: err == nil, Answer: answer})
	case state.FetchLoad:
		report, err := d.targets.FetchLoadReport(ctx, out.Address)
		report.Target, report.SentAt, report.OK = out.Target, out.SentAt, err == nil
		d.Feed(report)
	case state.FetchLookup:
		d.fetchLookup(ctx, out)
	case state.EngineOrder:
		res, err := d.targets.Order(ctx, out)
		res.ID, res.Host = out.ID, out.Host
		res.OK = res.OK && err == nil
		d.Feed(res)
	default:
		if d.hostClient == nil {
			return
		}
		if in := d.hostClient.Execute(ctx, out); in != nil {
			d.Feed(in)
		}
	}
}

func (d *Daemon) callStore(ctx context.Context, req state.StoreRequest) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	reply := state.StoreReply{ID: req.ID}
	var err error
	switch {
	case req.Transact != nil:
		var res store.TransactionResult
		res, err = d.platform.Transact(ctx, *req.Transact)
		reply.Result, reply.Rows = res.Result, res.Rows
	case req.Scan != "":
		reply.Rows, err = d.platform.Scan(ctx, req.Scan)
	case req.Read != nil:
		reply.Rows, err = d.platform.Read(ctx, req.Read)
	case req.PutObject != nil:
		err = d.platform.Put(ctx, req.PutObject.Key, req.PutObject.Value)
	default:
		reply.Object, err = d.platform.Get(ctx, req.GetObject)
	}
	if err != nil {
		reply.Result = state.StoreUnknown
		if errors.Is(err, store.ErrUnavailable) {
			reply.Result = state.StoreUnavailable
		}
	}
	d.Feed(reply)
}

func (d *Daemon) fetchLookup(ctx context.Context, out state.FetchLookup) {
	answer, found, err := d.targets.Lookup(ctx, out.Address, out.Path)
	d.Feed(state.LookupResult{Account: out.Account, IdempotencyKey: out.IdempotencyKey, OK: err == nil, Found: found, Answer: answer})
}

// abandon feeds a failure for an output that got no slot in time. Nothing of it
// was sent, so a store request had no effect.
func (d *Daemon) abandon(out state.Output) {
	switch out := out.(type) {
	case state.StoreRequest:
		d.Feed(state.StoreReply{ID: out.ID, Result: state.StoreUnavailable})
	case state.Probe:
		d.Feed(state.ProbeResult{Host: out.Host, SentAt: out.SentAt})
	case state.FetchLoad:
		d.Feed(state.LoadReport{Target: out.Target, SentAt: out.SentAt})
	case state.FetchLookup:
		d.Feed(state.LookupResult{Account: out.Account, IdempotencyKey: out.IdempotencyKey})
	case state.EngineOrder:
		d.Feed(state.EngineOrderResult{ID: out.ID, Host: out.Host})
	case state.HostOrder:
		d.Feed(state.HostOrderResult{ID: out.ID, Host: out.Host, Outcome: state.OrderConflict})
	case state.FetchHostReport:
		d.Feed(state.HostReport{Host: out.Host, SentAt: out.SentAt})
	}
}
