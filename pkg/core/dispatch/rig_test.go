package dispatch

import (
	"crypto/sha256"
	"fmt"
	"testing"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/quarantine"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const (
	modelName     = "draft"
	engineService = "pool"
	plainService  = "desk"
	accountName   = "shop"
	apiKey        = "secret-key"
)

// rig drives the dispatch system of one node and records its outputs.
type rig struct {
	t            *testing.T
	tables       *state.Tables
	quarantine   *quarantine.System
	system       *System
	now          time.Duration
	requestCount int
	// starts, cancels and replies hold all outputs since the creation of the rig.
	starts  []state.StartAttempt
	cancels []state.CancelAttempt
	replies []state.Reply
	// firstEvents holds when the first event of each request was reported.
	firstEvents map[state.RequestID]time.Duration
}

// newRig returns a rig whose node has the given number of open replica groups of
// one model and three replicas of a plain service.
func newRig(t *testing.T, groups int) *rig {
	tables := state.NewTables(state.Self{ID: "n1", DataCentre: "a", DrainNotice: 2 * time.Second, RetryRatio: 0.2, RetryBase: 130}, state.Switches{}, 7)
	tables.Managed = state.NewManagedState()
	r := &rig{t: t, tables: tables, quarantine: quarantine.New(tables), system: New(tables), now: time.Second, firstEvents: map[state.RequestID]time.Duration{}}
	tables.Config.Fresh, tables.Config.Loaded = true, true
	tables.Managed.PlatformConfig = platformConfig(1)
	for i := range groups {
		r.putInstance(fmt.Sprintf("g%d", i), engineService, state.Membership{Group: state.GroupID(fmt.Sprintf("G%d", i)), Epoch: 1, Phase: state.MemberOpen})
	}
	for i := range 3 {
		r.putInstance(fmt.Sprintf("d%d", i), plainService, state.Membership{})
	}
	return r
}

func platformConfig(version uint64) *state.PlatformConfig {
	engine := &state.EngineProfile{
		Slots: 26, StepsPerPass: 5, StepTime: 6 * time.Millisecond, StepTimePerSequence: 240 * time.Microsecond, PrefillRate: 46000, PrefillChunkTokens: 2048,
		Models: []state.ModelProfile{{Name: modelName, GroupSize: 4, TimeFactor: 1}},
	}
	return &state.PlatformConfig{
		Version: version,
		Routes: []state.Route{
			{Name: "draft", HostName: "shop.example", PathPrefix: "/a/", Stream: true, RetryClass: state.Resumable, Timeout: 8 * time.Second,
				LatencyObjective: 500 * time.Millisecond, MaxEventGap: 300 * time.Millisecond, Priority: 1, MaxAttempts: 2,
				TrafficSplit: []state.ServiceShare{{Service: engineService, Weight: 1}}},
			{Name: "deep", HostName: "shop.example", PathPrefix: "/a/b/", RetryClass: state.NonIdempotent, Timeout: 800 * time.Millisecond,
				LatencyObjective: 100 * time.Millisecond, Priority: 2, MaxAttempts: 1, TrafficSplit: []state.ServiceShare{{Service: plainService, Weight: 1}}},
			{Name: "lookup", HostName: "shop.example", PathPrefix: "/l/", RetryClass: state.Idempotent, Timeout: 800 * time.Millisecond,
				LatencyObjective: 100 * time.Millisecond, Priority: 2, MaxAttempts: 2, TrafficSplit: []state.ServiceShare{{Service: plainService, Weight: 1}}},
		},
		Services: []state.ServiceProfile{{Name: engineService, ColdRequestRate: 36, Engine: engine}, {Name: plainService}},
		Accounts: []state.ManagedAccount{{Name: accountName, Priority: -1, KeyHashes: [][32]byte{sha256.Sum256([]byte(apiKey))}}},
	}
}

// putInstance registers an instance, or replaces the one with the same id.
func (r *rig) putInstance(id, service string, membership state.Membership) *state.Instance {
	row := &state.Instance{
		ID: state.HostID(id), Service: service, Address: id, DataCentre: "a", Slots: 6, LoadedModel: modelName, Membership: membership, StartID: 1, RevisionSeenAt: r.now,
	}
	r.tables.Managed.Instances.Put(row.ID, row)
	r.tables.Managed.TargetInputsVersion++
	return row
}

func (r *rig) step(in state.Input) {
	var out state.Outbox
	if ev, ok := in.(state.AttemptEvent); ok && ev.Stage == state.AttemptFirstByte {
		r.firstEvents[ev.Request] = r.now
	}
	r.quarantine.Step(r.now, in, &out)
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

// advance moves the clock by d and feeds a tick every 10 ms.
func (r *rig) advance(d time.Duration) {
	for end := r.now + d; r.now < end; {
		r.now = min(r.now+10*time.Millisecond, end)
		r.step(state.Tick{})
	}
}

// receiveStatuses feeds the status of a peer each period, until the node uses the counts.
func (r *rig) receiveStatuses() {
	for range maxSilence/state.PeerStatusPeriod + 1 {
		r.now += state.PeerStatusPeriod
		r.step(state.PeerMessage{Message: state.Message{PeerStatus: &state.PeerStatus{}}})
	}
}

// sendRequest feeds a request for a path to the node and returns its id.
func (r *rig) sendRequest(path string, promptTokens int) state.RequestID {
	return r.sendRequestWithParts(path, promptTokens)
}

// sendRequestWithParts does the same for a request with shared parts in its prompt.
func (r *rig) sendRequestWithParts(path string, promptTokens int, parts ...state.PromptPartID) state.RequestID {
	r.requestCount++
	id := state.RequestID(fmt.Sprintf("r%d", r.requestCount))
	r.step(state.RequestArrived{ID: id, Routed: &state.RoutedRequest{
		HostName: "shop.example", Path: path, HasKey: true, KeyHash: sha256.Sum256([]byte(apiKey)), AttemptID: string(id),
		Model: modelName, PromptTokens: promptTokens, OutputTokens: 130, Timeout: 8 * time.Second, PromptParts: parts,
	}})
	return id
}

// lastAttempt returns the last attempt of a request, or nil if none was started.
func (r *rig) lastAttempt(id state.RequestID) *state.StartAttempt {
	for i := len(r.starts) - 1; i >= 0; i-- {
		if r.starts[i].Request == id {
			return &r.starts[i]
		}
	}
	return nil
}

// replyTo returns the reply to a request, or nil while it is open.
func (r *rig) replyTo(id state.RequestID) *state.Reply {
	for i := range r.replies {
		if r.replies[i].Request == id {
			return &r.replies[i]
		}
	}
	return nil
}

// reportStage feeds a stage of the last attempt of a request.
func (r *rig) reportStage(id state.RequestID, stage state.AttemptStage) {
	attempt := r.lastAttempt(id)
	r.step(state.AttemptEvent{Request: id, Attempt: attempt.Attempt, Stage: stage, AnswerStarted: stage == state.AttemptFirstByte})
}

// endAttempt feeds the end of the last attempt of a request.
func (r *rig) endAttempt(id state.RequestID, failure state.AttemptFailure, outcome apierror.Outcome) {
	attempt := r.lastAttempt(id)
	r.step(state.AttemptEvent{Request: id, Attempt: attempt.Attempt, Stage: state.AttemptEnded, Failure: failure, Outcome: outcome})
}
