package dispatch

import (
	"crypto/sha256"
	"fmt"
	"testing"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const (
	model   = "draft"
	pool    = "pool"
	desk    = "desk"
	account = "shop"
	apiKey  = "secret-key"
)

// rig drives one node's dispatch system.
type rig struct {
	t      *testing.T
	tables *state.Tables
	system *System
	now    time.Duration
	next   int
	// starts, cancels and replies are the outputs so far.
	starts  []state.StartAttempt
	cancels []state.CancelAttempt
	replies []state.Reply
}

// newRig returns a node with a number of replica groups of one model and three
// replicas of a plain service.
func newRig(t *testing.T, groups int) *rig {
	tables := state.NewTables(state.Self{ID: "n1", DataCentre: "a", DrainNotice: 2 * time.Second}, state.Switches{}, 7)
	tables.Managed = state.NewManagedState()
	r := &rig{t: t, tables: tables, system: New(tables), now: time.Second}
	tables.Config.Fresh, tables.Config.Loaded = true, true
	tables.Managed.PlatformConfig = catalogue(1)
	for i := range groups {
		r.instance(fmt.Sprintf("g%d", i), pool, state.Membership{Group: state.GroupID(fmt.Sprintf("G%d", i)), Epoch: 1, Phase: state.MemberOpen})
	}
	for i := range 3 {
		r.instance(fmt.Sprintf("d%d", i), desk, state.Membership{})
	}
	return r
}

func catalogue(version uint64) *state.PlatformConfig {
	engine := &state.EngineProfile{
		Slots: 26, StepsPerPass: 5, StepTime: 6 * time.Millisecond, StepTimePerSequence: 240 * time.Microsecond, PrefillRate: 46000, PrefillChunkTokens: 2048,
		Models: []state.ModelProfile{{Name: model, GroupSize: 4, TimeFactor: 1}},
	}
	return &state.PlatformConfig{
		Version: version,
		Routes: []state.Route{
			{Name: "draft", HostName: "shop.example", PathPrefix: "/a/", Stream: true, RetryClass: state.Resumable, Timeout: 8 * time.Second,
				LatencyObjective: 500 * time.Millisecond, MaxEventGap: 300 * time.Millisecond, Priority: 1, MaxAttempts: 2,
				TrafficSplit: []state.ServiceShare{{Service: pool, Weight: 1}}},
			{Name: "deep", HostName: "shop.example", PathPrefix: "/a/b/", RetryClass: state.NonIdempotent, Timeout: 800 * time.Millisecond,
				LatencyObjective: 100 * time.Millisecond, Priority: 2, MaxAttempts: 1, TrafficSplit: []state.ServiceShare{{Service: desk, Weight: 1}}},
			{Name: "lookup", HostName: "shop.example", PathPrefix: "/l/", RetryClass: state.Idempotent, Timeout: 800 * time.Millisecond,
				LatencyObjective: 100 * time.Millisecond, Priority: 2, MaxAttempts: 2, TrafficSplit: []state.ServiceShare{{Service: desk, Weight: 1}}},
		},
		Services: []state.ServiceProfile{{Name: pool, ColdRequestRate: 36, Engine: engine}, {Name: desk}},
		Accounts: []state.ManagedAccount{{Name: account, Priority: -1, KeyHashes: [][32]byte{sha256.Sum256([]byte(apiKey))}}},
	}
}

func (r *rig) instance(id, service string, m state.Membership) *state.Instance {
	row := &state.Instance{
		ID: state.HostID(id), Service: service, Address: id, DataCentre: "a", Slots: 6, LoadedModel: model, Membership: m, StartID: 1, RevisionSeenAt: r.now,
	}
	r.tables.Managed.Instances.Put(row.ID, row)
	r.tables.Managed.TargetInputsVersion++
	return row
}

func (r *rig) step(in state.Input) {
	var out state.Outbox
	r.system.Step(r.now, in, &out)
	for _, o := range out.Outputs {
		switch o := o.(type) {
		case state.StartAttempt:
			r.starts = append(r.starts, o)
		case state.CancelAttempt:
			r.cancels = append(r.cancels, o)
		case state.Reply:
			r.replies = append(r.replies, o)
		}
	}
}

func (r *rig) after(d time.Duration) {
	for end := r.now + d; r.now < end; {
		r.now = min(r.now+10*time.Millisecond, end)
		r.step(state.Tick{})
	}
}

// request sends a request to a path and returns its id.
func (r *rig) request(path string, prompt int) state.RequestID {
	r.next++
	id := state.RequestID(fmt.Sprintf("r%d", r.next))
	r.step(state.RequestArrived{ID: id, Routed: &state.RoutedRequest{
		HostName: "shop.example", Path: path, HasKey: true, KeyHash: sha256.Sum256([]byte(apiKey)), AttemptID: string(id),
		Model: model, PromptTokens: prompt, OutputTokens: 130, Timeout: 8 * time.Second,
	}})
	return id
}

// started returns the last attempt of a request.
func (r *rig) started(id state.RequestID) *state.StartAttempt {
	for i := len(r.starts) - 1; i >= 0; i-- {
		if r.starts[i].Request == id {
			return &r.starts[i]
		}
	}
	return nil
}

func (r *rig) reply(id state.RequestID) *state.Reply {
	for i := range r.replies {
		if r.replies[i].Request == id {
			return &r.replies[i]
		}
	}
	return nil
}

func (r *rig) event(id state.RequestID, stage state.AttemptStage) {
	s := r.started(id)
	r.step(state.AttemptEvent{Request: id, Attempt: s.Attempt, Stage: stage, AnswerStarted: stage == state.AttemptFirstByte})
}

func (r *rig) end(id state.RequestID, failure state.AttemptFailure, outcome apierror.Outcome) {
	s := r.started(id)
	r.step(state.AttemptEvent{Request: id, Attempt: s.Attempt, Stage: state.AttemptEnded, Failure: failure, Outcome: outcome})
}
