package dispatch

import (
	"log/slog"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/promptcache"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

// endedRequestRetention is how long the row of an ended request is kept, so that
// late events of its attempts still find it.
const endedRequestRetention = 2 * time.Second

// activeRequest is the state of a request that has not ended, in addition to its
// row in Requests.
type activeRequest struct {
	req  *state.Request
	pool *targetPool
	// attempts is the number of attempts that were started, and unsent how many of them
	// reached no target because the decision had expired.
	attempts, unsent int
	// target is that of the running attempt, nil while none runs.
	target *target
	// fallbacks are earlier attempts that stay open beside the running one.
	fallbacks []*fallbackAttempt
	// firstEventSeen is set once an event of the running attempt has arrived.
	firstEventSeen bool
	// stalled is set while the running attempt receives no events.
	stalled bool
	// priority is that of the client account, or of the route if the account has
	// none. 0 is the most urgent.
	priority int
	// queuedAt is when the request was last queued for another attempt.
	queuedAt time.Duration
	// nextDrawAt is when a queued request for an engine is placed again after it found no room
	// by counts that arrive only with the next status of the peers.
	nextDrawAt time.Duration
	// objectiveEnd is the time by which the latency objective must be met.
	objectiveEnd time.Duration
	// firstEventAt is when the first event of any attempt arrived; 0 before that.
	firstEventAt time.Duration
	// firstSentAt is when the first attempt was started, and predicted the time to the
	// first event that was predicted for the last one.
	firstSentAt, predicted time.Duration
	// firstEventAttempt is the attempt that delivered the first event; 0 before that.
	firstEventAttempt int
	// prefixes are those of the prompt, if targets keep prompts. heldTokens is the part of the
	// prompt that the target of the last attempt was expected to hold, and predictedHeld the
	// time to the first event if that saved all of its prefill.
	prefixes      []promptcache.Prefix
	heldTokens    int
	predictedHeld time.Duration
}

// hasBegun reports whether the caller has received a part of the answer.
func (a *activeRequest) hasBegun() bool { return a.firstEventAt > 0 }

// System is the dispatch system. It reads Managed and Config. It writes the rows
// of Requests, the counters StaleEvents, Retries and BudgetRefusals, and in
// Managed Loads, StalledTargets, Demand, TrafficStarted and QuarantinedArrivals.
type System struct {
	tables  *state.Tables
	managed *state.ManagedState

	index               *configIndex
	targetInputsVersion uint64
	targets             map[state.HostID]*target
	pools               map[poolKey]*targetPool
	// poolOrder holds the pools sorted by service and model, which is the order in
	// which their queued requests are placed.
	poolOrder      []*targetPool
	activeRequests map[state.RequestID]*activeRequest
	retryBudgets   map[string]*retryBudget
	// deadlines end requests, failovers move requests away from stalled targets,
	// and deletions remove the rows of ended requests.
	deadlines *state.DueQueue[state.RequestID]
	failovers *state.DueQueue[state.RequestID]
	deletions *state.DueQueue[state.RequestID]
	demand    map[string]*decayingRate
	// peerLoadsChanged is set while the reports of peers are newer than the loads of the
	// targets that follow from them.
	peerLoadsChanged bool
	// peerStatusAt is when a peer last reported its loads, and peerStatusSince since when such
	// reports have come without a gap of maxSilence.
	peerStatusAt, peerStatusSince time.Duration
	// pickOnRelayed chooses a target where counts of peers are relayed.
	pickOnRelayed func(now time.Duration, active *activeRequest) *target
	// heldPrompts holds what targets hold of prompts, nil if they keep none. promptMemoryAt is
	// when the use of their memory was last counted.
	heldPrompts    *promptcache.Store
	promptMemoryAt time.Duration
	// changedNodes collects the changes of the registered nodes, of which nodesVersion
	// counts those that were seen.
	changedNodes *state.DirtySet[state.NodeID]
	nodesVersion uint64
	// quarantineVersion is the QuarantineVersion up to which open requests have been
	// ended.
	quarantineVersion uint64
	// trials holds the last trial of each trait in quarantine at this node.
	trials map[state.Trait]trial
	// admissionClosesAt is negative until a shutdown starts.
	admissionClosesAt time.Duration
}

// New returns the dispatch system.
func New(t *state.Tables) *System {
	s := &System{
		tables: t, managed: t.Managed, targets: map[state.HostID]*target{}, pools: map[poolKey]*targetPool{},
		activeRequests: map[state.RequestID]*activeRequest{}, retryBudgets: map[string]*retryBudget{},
		deadlines: state.NewDueQueue[state.RequestID](), failovers: state.NewDueQueue[state.RequestID](),
		deletions: state.NewDueQueue[state.RequestID](), demand: map[string]*decayingRate{}, trials: map[state.Trait]trial{}, admissionClosesAt: -1,
		changedNodes: t.Managed.Nodes.Subscribe(), heldPrompts: newHeldPrompts(&t.Self),
	}
	s.pickOnRelayed = s.pickOnRelayedCounts
	return s
}

// Step implements state.System.
func (s *System) Step(now time.Duration, in state.Input, out *state.Outbox) {
	if s.managed.PlatformConfig != nil && s.targetInputsVersion != s.managed.TargetInputsVersion {
		s.rebuildTargets()
		s.placeQueued(now, out)
	}
	switch in := in.(type) {
	case state.RequestArrived:
		s.handleArrival(now, in, out)
	case state.AttemptEvent:
		s.handleAttemptEvent(now, in, out)
	case state.CallerDisconnected:
		s.handleCallerDisconnected(now, in.Request, out)
	case state.Shutdown:
		if s.admissionClosesAt < 0 {
			s.admissionClosesAt = now + s.tables.Self.DrainNotice
		}
	case state.PeerMessage:
		if in.Message.PeerStatus != nil {
			if now-s.peerStatusAt > maxSilence {
				s.peerStatusSince = now
			}
			s.peerLoadsChanged, s.peerStatusAt = true, now
			s.placeQueued(now, out)
		}
	case state.Tick:
		s.fillPromptMemory(now)
		s.placeQueued(now, out)
		s.publishDemand(now)
		s.clearSuspects(now, out)
	}
	s.endQuarantined(now, out)
	s.runTimers(now, out)
}

func (s *System) handleArrival(now time.Duration, arrival state.RequestArrived, out *state.Outbox) {
	if arrival.Routed == nil || s.tables.Requests.Get(arrival.ID) != nil {
		return
	}
	req := &state.Request{Arrival: arrival, ArrivedAt: now, Deadline: now + arrival.Routed.Timeout}
	s.tables.Requests.Put(arrival.ID, req)
	s.managed.TrafficStarted = true
	if refusal := s.admit(now, req, out); refusal != nil {
		s.refuse(now, req, refusal, out)
		return
	}
	active := &activeRequest{req: req, objectiveEnd: req.ArrivedAt + req.Route.LatencyObjective, priority: s.index.priority(req)}
	active.pool = s.pool(poolKey{service: req.Service, model: s.modelOf(req)})
	s.readPrefixes(active)
	s.activeRequests[arrival.ID] = active
	s.deadlines.Schedule(arrival.ID, req.Deadline)
	s.retryBudget(req.Service).countRequest(now)
	s.countDemand(now, req)
	active.pool.classes.countArrival(now, active.priority)
	if !s.place(now, active, out) {
		s.enqueue(now, active, out)
	}
}

// admit sets the route, the client account, the service and the deadline of a
// request, or returns the error with which it is refused.
func (s *System) admit(now time.Duration, req *state.Request, out *state.Outbox) *apierror.Error {
	routed := req.Arrival.Routed
	switch {
	case s.managed.PlatformConfig == nil || s.index == nil:
		return unavailable("starting", "this node has no configuration yet; send the request again").WithRetryAfter(startingRetryAfter)
	case !s.tables.Config.Fresh:
		return unavailable("isolated", "this node has no current data from the platform store or a peer; send the request again").WithRetryAfter(isolatedRetryAfter)
	case s.admissionClosed(now):
		return unavailable("shutting_down", "this node is shutting down; send the request again").WithRetryAfter(isolatedRetryAfter)
	}
	if refusal := checkSize(routed, s.managed.PlatformConfig.Limits); refusal != nil {
		return refusal
	}
	route := s.index.findRoute(routed.HostName, routed.Path)
	if route == nil {
		return apierror.New(apierror.KindNotFound, "unknown_route", "no route matches this host name and path; check both", apierror.NotRun)
	}
	req.Route = route
	if !route.AllowAnonymous && s.managed.PlatformConfig.RequiresKey() {
		account := s.index.accountsByKeyHash[routed.KeyHash]
		if !routed.HasKey || account == nil {
			return apierror.New(apierror.KindAuth, "invalid_api_key", "the API key is not valid; send a valid key as Authorization: Bearer", apierror.NotRun)
		}
		req.Account = account.Name
	}
	req.Service = chooseService(route, s.tables.Rand.Float64())
	if s.index.services[req.Service] == nil {
		return unavailable("unknown_service", "the route names no configured service; send the request again later").WithRetryAfter(time.Second)
	}
	if route.Timeout > 0 {
		req.Deadline = min(req.Deadline, now+route.Timeout)
	}
	return s.checkTraits(now, req, out)
}

// checkSize returns an error if a request exceeds the configured size limits. A
// limit of 0 means no limit.
func checkSize(routed *state.RoutedRequest, limits state.CallerLimits) *apierror.Error {
	switch {
	case limits.MaxHeaderBytes > 0 && routed.HeaderBytes > limits.MaxHeaderBytes:
		return apierror.New(apierror.KindTooLarge, "header_too_large", "the request header exceeds the size limit; send a smaller header", apierror.NotRun)
	case limits.MaxBodyBytes > 0 && routed.BodyBytes > limits.MaxBodyBytes:
		return apierror.New(apierror.KindTooLarge, "body_too_large", "the request body exceeds the size limit; send a smaller body", apierror.NotRun)
	}
	return nil
}

// Retry-After times of refusals by a node that starts, or that is isolated or
// shutting down. They are short because the platform's balancer sends the
// caller's retry to another node, which can serve it at once.
const (
	startingRetryAfter = 300 * time.Millisecond
	isolatedRetryAfter = 20 * time.Millisecond
)

// modelOf returns the model of a request, or "" if it goes to a plain service.
func (s *System) modelOf(req *state.Request) string {
	if s.index.services[req.Service].Engine == nil {
		return ""
	}
	return req.Arrival.Routed.Model
}

// admissionClosed reports whether the drain notice of a shutdown has passed. By then
// the balancer no longer sends requests to this node, and new ones would not end in
// time.
func (s *System) admissionClosed(now time.Duration) bool {
	return s.admissionClosesAt >= 0 && now >= s.admissionClosesAt
}

func (s *System) retryBudget(service string) *retryBudget {
	budget := s.retryBudgets[service]
	if budget == nil {
		budget = &retryBudget{}
		s.retryBudgets[service] = budget
	}
	return budget
}

// countDemand adds the engine time of a request to the demand for its model.
func (s *System) countDemand(now time.Duration, req *state.Request) {
	engine, model := s.index.services[req.Service].Engine, req.Arrival.Routed.Model
	if engine == nil {
		return
	}
	profile := engine.Model(model)
	if profile == nil {
		return
	}
	outputTokens := req.Arrival.Routed.OutputTokens
	if hint := req.Arrival.Routed.OutputHint; hint > 0 {
		outputTokens = hint
	}
	rate := s.demand[model]
	if rate == nil {
		rate = &decayingRate{updatedAt: now}
		s.demand[model] = rate
	}
	rate.decay(now)
	rate.perSecond += engineTime(engine, profile.TimeFactor, req.Arrival.Routed.PromptTokens, outputTokens).Seconds() / rateTimeConstant.Seconds()
}

func (s *System) publishDemand(now time.Duration) {
	for model, rate := range s.demand {
		rate.decay(now)
		s.managed.Demand[model] = rate.perSecond
	}
}

// handleCallerDisconnected cancels the attempt of a request whose caller has
// closed its connection.
func (s *System) handleCallerDisconnected(now time.Duration, id state.RequestID, out *state.Outbox) {
	req := s.tables.Requests.Get(id)
	if req == nil || req.Phase == state.RequestEnded {
		return
	}
	req.CallerDisconnected = true
	s.refuse(now, req, apierror.New(apierror.KindUnavailable, "caller_gone",
		"the caller closed its connection; send the request again", apierror.NotRun), out)
}

func (s *System) runTimers(now time.Duration, out *state.Outbox) {
	for id, ok := s.deadlines.Pop(now); ok; id, ok = s.deadlines.Pop(now) {
		if active := s.activeRequests[id]; active != nil {
			s.refuse(now, active.req, apierror.New(apierror.KindDeadline, "deadline_passed",
				"no complete answer arrived before the deadline; send the request again", apierror.NotRun), out)
		}
	}
	for id, ok := s.failovers.Pop(now); ok; id, ok = s.failovers.Pop(now) {
		if active := s.activeRequests[id]; active != nil && active.stalled {
			s.failOver(now, active, out)
		}
	}
	for id, ok := s.deletions.Pop(now); ok; id, ok = s.deletions.Pop(now) {
		s.tables.Requests.Delete(id)
	}
}

// refuse ends a request with an error and logs it. extraAttrs are added to the
// log event.
func (s *System) refuse(now time.Duration, req *state.Request, refusal *apierror.Error, out *state.Outbox, extraAttrs ...slog.Attr) {
	// EndWithRefusal cancels the running attempt, so finish releases the target
	// only afterwards.
	if active := s.activeRequests[req.Arrival.ID]; active != nil {
		s.dropFallbacks(now, active, out)
	}
	s.tables.EndWithRefusal(now, req, refusal, out)
	attrs := []slog.Attr{
		slog.String("request", req.Arrival.Routed.AttemptID), slog.String("code", refusal.Code),
		slog.String("outcome", string(req.Outcome)), slog.Duration("age", now-req.ArrivedAt),
		slog.Int("attempts", req.Attempt), slog.Duration("retry_after", refusal.RetryAfter),
		slog.Bool("answer_started", req.AnswerStarted),
	}
	attrs = append(attrs, extraAttrs...)
	if s.managed.PlatformConfig != nil {
		attrs = append(attrs, slog.Uint64("version", s.managed.PlatformConfig.Version),
			slog.Duration("evidence_age", now-s.managed.Tables[state.OperatorTable].AnsweredAt))
	}
	if req.Route != nil {
		attrs = append(attrs, slog.String("route", req.Route.Name), slog.String("account", string(req.Account)))
	}
	out.Log(event.RequestRefused, attrs...)
	s.finish(now, req)
}

// answer ends a request with the answer of its last attempt. A buffered answer
// goes to the caller now; any other has already been forwarded.
func (s *System) answer(now time.Duration, req *state.Request, buffered bool, longestGap time.Duration, out *state.Outbox) {
	s.tables.EndWithAnswer(now, req, state.Reply{UseBufferedAnswer: buffered}, out)
	active := s.activeRequests[req.Arrival.ID]
	firstEventAt := now
	if active.firstEventAt > 0 {
		firstEventAt = active.firstEventAt
	}
	late := latenessCause(req, active, firstEventAt, longestGap)
	attrs := []slog.Attr{
		slog.String("request", req.Arrival.Routed.AttemptID), slog.String("route", req.Route.Name), slog.String("target", string(req.Target)),
		slog.Int("attempts", req.Attempt), slog.Duration("queued", active.firstSentAt-req.ArrivedAt), slog.Duration("predicted", active.predicted),
		slog.Duration("first", firstEventAt-req.ArrivedAt), slog.Duration("gap", longestGap), slog.Duration("age", now-req.ArrivedAt),
		slog.String("late", string(late)),
	}
	if active.heldTokens > 0 {
		attrs = append(attrs, slog.Int("held", active.heldTokens))
	}
	out.Log(event.RequestEnded, attrs...)
	s.finish(now, req)
}

// finish releases the target, the queue entry and the timers of an ended request,
// and schedules the deletion of its row.
func (s *System) finish(now time.Duration, req *state.Request) {
	id := req.Arrival.ID
	s.deletions.Schedule(id, now+endedRequestRetention)
	active := s.activeRequests[id]
	if active == nil {
		return
	}
	s.releaseTarget(now, active)
	s.removeFromQueue(active)
	s.deadlines.Cancel(id)
	s.failovers.Cancel(id)
	delete(s.activeRequests, id)
}

func unavailable(code, message string) *apierror.Error {
	return apierror.New(apierror.KindUnavailable, code, message, apierror.NotRun)
}
