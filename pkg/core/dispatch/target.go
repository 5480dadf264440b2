package dispatch

import (
	"reflect"
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/promptcache"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const (
	// failureAvoidTime is how long a target gets no new requests from this node
	// after a connection to it failed or was lost, or after it named a faulty host.
	// Meanwhile the formation system checks whether the group still runs.
	failureAvoidTime = 500 * time.Millisecond
	// fullAvoidTime is the same after a target refused a request because its queue
	// was full. It covers a few passes of an engine.
	fullAvoidTime = 150 * time.Millisecond
	// failureHalfLife is the time in which the weight of an ended attempt in the
	// failure rate halves.
	failureHalfLife = 2 * time.Second
)

// target is a destination of requests: the leader of an open replica group, or
// a replica of a plain service.
type target struct {
	id         state.HostID
	service    string
	model      string
	group      state.GroupID
	epoch      uint64
	startID    int64
	address    string
	dataCentre state.DataCentre
	engine     *state.EngineProfile
	timeFactor float64
	slots      int
	// coldRate is the number of requests per second that the target can serve before
	// coldUntil.
	coldRate  float64
	coldUntil time.Duration
	// share is this node's share of the bound on the target, if it has one.
	share rateShare
	// usable is false once the target may get no new requests: its instance is gone
	// or draining, no longer leads an open group, or is in an evacuated data centre.
	usable bool
	// load counts this node's attempts, peerLoad those of the other nodes.
	load     state.TargetLoad
	peerLoad state.TargetLoad
	// No new requests are sent before avoidUntil, which follows a failure, and
	// fullUntil, which follows a refusal.
	avoidUntil time.Duration
	fullUntil  time.Duration
	// stalledCount counts the stalled attempts of this node. suspect is set while
	// all streams that have delivered events are stalled.
	stalledCount int
	suspect      bool
	// failedWeight and endedWeight count failed and all ended attempts, each with a
	// weight that halves every failureHalfLife.
	failedWeight, endedWeight float64
	decayedAt                 time.Duration
	activeRequests            map[state.RequestID]*activeRequest
	// held is what the target holds of prompts, nil if targets keep none. shortfall is the
	// mean time that attempts lack of the saving.
	held      *promptcache.Target
	shortfall time.Duration
}

// targetPool holds the targets of one service and model, and the requests that
// wait for one of them.
type targetPool struct {
	key     poolKey
	targets []*target
	queue   []*activeRequest
	// attemptEndRate is the number of attempts of this node that end per second.
	attemptEndRate decayingRate
	// meanResidence is the mean time of an attempt of this node; 0 before the first end.
	meanResidence time.Duration
	// engine is the profile with which meanResidence and fixedLatency were learned.
	engine         *state.EngineProfile
	fixedLatency   fixedLatency
	classes        classRates
	sizes          requestSizes
	recentPrefixes recentPrefixes
	// unsavedDifference is the mean difference between the observed and the predicted time to
	// the first event of the attempts that found nothing held, of which there were unsavedAttempts.
	unsavedDifference time.Duration
	unsavedAttempts   int
}

// poolKey identifies a pool. The model is empty for a plain service.
type poolKey struct {
	service string
	model   string
}

// rebuildTargets builds the targets from the registered instances. A target keeps
// its state while the same process leads the same group at the same address.
func (s *System) rebuildTargets() {
	s.targetInputsVersion = s.managed.TargetInputsVersion
	if s.index == nil || s.index.version != s.managed.PlatformConfig.Version {
		s.index = newConfigIndex(s.managed.PlatformConfig)
	}
	for _, t := range s.targets {
		t.usable = false
	}
	for _, pool := range s.pools {
		pool.targets = pool.targets[:0]
	}
	for id, instance := range s.managed.Instances.All() {
		profile := s.index.services[instance.Service]
		if profile == nil || instance.Draining || s.managed.Evacuated[instance.DataCentre] {
			continue
		}
		key := poolKey{service: instance.Service}
		if profile.Engine != nil {
			if instance.Membership.Phase != state.MemberOpen {
				continue
			}
			key.model = instance.LoadedModel
		}
		t := s.targets[id]
		if t == nil || t.startID != instance.StartID || t.group != instance.Membership.Group || t.epoch != instance.Membership.Epoch || t.address != instance.Address {
			t = s.replaceTarget(t, id, instance)
		}
		t.usable, t.service, t.model, t.dataCentre = true, instance.Service, key.model, instance.DataCentre
		t.engine, t.slots, t.coldRate, t.timeFactor = profile.Engine, max(instance.Slots, 1), profile.ColdRequestRate, 1
		if t.engine != nil {
			t.slots = max(t.engine.Slots, 1)
			if modelProfile := t.engine.Model(instance.LoadedModel); modelProfile != nil {
				t.timeFactor = modelProfile.TimeFactor
			}
		}
		s.followEngine(t)
		if instance.ColdRemaining > 0 {
			t.coldUntil = instance.RevisionSeenAt + instance.ColdRemaining
		}
		pool := s.pool(key)
		pool.setEngine(t.engine)
		pool.targets = append(pool.targets, t)
	}
	for id, t := range s.targets {
		if !t.usable {
			t.forget()
		}
		if !t.usable && len(t.activeRequests) == 0 {
			delete(s.targets, id)
			delete(s.managed.StalledTargets, id)
			delete(s.managed.Loads, id)
		}
	}
	s.sumPeerLoads()
}

// replaceTarget creates the target of an instance and registers its load. Attempts
// at the target that it replaces end by themselves.
func (s *System) replaceTarget(old *target, id state.HostID, instance *state.Instance) *target {
	if old != nil {
		s.setSuspect(old, false, nil)
		old.forget()
	}
	delete(s.managed.StalledTargets, id)
	t := &target{
		id: id, group: instance.Membership.Group, epoch: instance.Membership.Epoch, startID: instance.StartID, address: instance.Address,
		activeRequests: map[state.RequestID]*activeRequest{},
	}
	s.targets[id] = t
	t.load.Target = id
	s.managed.Loads[id] = &t.load
	return t
}

// pool returns the pool of a key and creates it if necessary.
func (s *System) pool(key poolKey) *targetPool {
	pool := s.pools[key]
	if pool == nil {
		pool = &targetPool{key: key}
		s.pools[key] = pool
		s.poolOrder = append(s.poolOrder, pool)
		slices.SortFunc(s.poolOrder, func(a, b *targetPool) int { return comparePoolKeys(a.key, b.key) })
	}
	return pool
}

// setEngine sets the profile of the engine, and forgets what was learned with another one.
func (p *targetPool) setEngine(engine *state.EngineProfile) {
	if p.engine != engine && p.engine != nil && engine != nil && !reflect.DeepEqual(p.engine, engine) {
		p.fixedLatency, p.meanResidence = fixedLatency{}, 0
	}
	p.engine = engine
}

func comparePoolKeys(a, b poolKey) int {
	if a.service != b.service {
		if a.service < b.service {
			return -1
		}
		return 1
	}
	if a.model < b.model {
		return -1
	}
	return 1
}

// sumPeerLoads sets the peer load of each target to the sum of the last reports
// of all peers.
//
// Load pattern: each of 70 peers of a hub reports ten times a second. The sum is therefore
// taken when a request is placed, and not with each report.
func (s *System) sumPeerLoads() {
	s.peerLoadsChanged = false
	for _, t := range s.targets {
		t.peerLoad = state.TargetLoad{}
	}
	for _, loads := range s.managed.PeerLoads {
		for _, load := range loads {
			if t := s.targets[load.Target]; t != nil {
				t.peerLoad.Running += load.Running
				t.peerLoad.Waiting += load.Waiting
				t.peerLoad.WaitingTokens += load.WaitingTokens
			}
		}
	}
}

// inFlight returns the number of requests at the target from all nodes.
func (t *target) inFlight() int {
	return t.load.Running + t.load.Waiting + t.peerLoad.Running + t.peerLoad.Waiting
}

func (t *target) engineLoad() engineLoad {
	return engineLoad{
		Running: t.load.Running + t.peerLoad.Running, Waiting: t.load.Waiting + t.peerLoad.Waiting,
		WaitingTokens: t.load.WaitingTokens + t.peerLoad.WaitingTokens,
	}
}

// addLoad counts an attempt at the target. begun states whether it has delivered events.
func (t *target) addLoad(req *state.Request, begun bool) { t.changeLoad(req, begun, 1) }

// removeLoad takes an attempt out of the load of the target.
func (t *target) removeLoad(req *state.Request, begun bool) { t.changeLoad(req, begun, -1) }

func (t *target) changeLoad(req *state.Request, begun bool, n int) {
	if begun {
		t.load.Running += n
		return
	}
	t.load.Waiting += n
	t.load.WaitingTokens += n * req.Arrival.Routed.PromptTokens
}

// countEnd adds the end of an attempt to the failure rate.
func (t *target) countEnd(now time.Duration, failed bool) {
	t.decay(now)
	t.endedWeight++
	if failed {
		t.failedWeight++
	}
}

func (t *target) decay(now time.Duration) {
	for now-t.decayedAt >= failureHalfLife {
		t.failedWeight, t.endedWeight = t.failedWeight/2, t.endedWeight/2
		if t.endedWeight < 0.1 {
			t.decayedAt = now
			return
		}
		t.decayedAt += failureHalfLife
	}
}

// failureRate returns the fraction of recent attempts that failed. It adds two
// successful attempts, since a few attempts alone are not significant.
func (t *target) failureRate(now time.Duration) float64 {
	t.decay(now)
	return t.failedWeight / (t.endedWeight + 2)
}

// decayingRate is a rate per second that approximates an exponentially weighted
// moving average.
type decayingRate struct {
	perSecond float64
	updatedAt time.Duration
}

// rateTimeConstant is the time over which a decayingRate averages.
const rateTimeConstant = 2 * time.Second

// add counts one occurrence.
func (r *decayingRate) add(now time.Duration) {
	r.decay(now)
	r.perSecond += 1 / rateTimeConstant.Seconds()
}

// decay lowers the rate for the time since the last update.
func (r *decayingRate) decay(now time.Duration) {
	elapsed := (now - r.updatedAt).Seconds() / rateTimeConstant.Seconds()
	r.updatedAt = now
	if elapsed > 0 {
		r.perSecond /= 1 + elapsed
	}
}
