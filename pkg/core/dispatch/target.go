package dispatch

import (
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const (
	// failureAvoidTime is for how long a target that refused a connection or broke one
	// gets no new work from this node. The formation system finds out meanwhile
	// whether the group stands.
	failureAvoidTime = 500 * time.Millisecond
	// fullAvoidTime is the same after a target said that its queue was full. It is a
	// few passes of an engine.
	fullAvoidTime = 150 * time.Millisecond
	// failureHalfLife is the time in which the weight of a failed request halves.
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
	coldRate   float64
	coldUntil  time.Duration
	coldBucket coldTokenBucket
	// usable is false once the target may get no new work.
	usable bool
	// load counts this node's attempts, peers those of the other nodes.
	load     state.TargetLoad
	peerLoad state.TargetLoad
	// avoidUntil and fullUntil keep new work away for a time.
	avoidUntil time.Duration
	fullUntil  time.Duration
	// stalledCount counts attempts of this node that have fallen silent; suspect is
	// set while all that have begun are silent.
	stalledCount int
	suspect      bool
	// failedWeight and ended are counts of attempts whose weight halves in
	// failureMemory.
	failedWeight, endedWeight float64
	decayedAt                 time.Duration
	activeRequests            map[state.RequestID]*activeRequest
}

// targetPool holds the targets that the same requests can use.
type targetPool struct {
	key     poolKey
	targets []*target
	queue   []*activeRequest
	// attemptEndRate is the number of requests a second that this node has ended here.
	attemptEndRate decayingRate
}

type poolKey struct {
	service string
	model   string
}

// rebuildTargets takes the targets from the instances. A target keeps its counts while
// the same process leads the same group.
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
		if instance.ColdRemaining > 0 {
			t.coldUntil = instance.RevisionSeenAt + instance.ColdRemaining
		}
		pool := s.pool(key)
		pool.targets = append(pool.targets, t)
	}
	for id, t := range s.targets {
		if !t.usable && len(t.activeRequests) == 0 {
			delete(s.targets, id)
			delete(s.managed.StalledTargets, id)
			delete(s.managed.Loads, id)
		}
	}
	s.sumPeerLoads()
}

// replaceTarget returns a new target at an instance. Attempts at an earlier life of
// it end by themselves.
func (s *System) replaceTarget(old *target, id state.HostID, instance *state.Instance) *target {
	if old != nil {
		s.setSuspect(old, false, nil)
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

// sumPeerLoads sums what peers last said of each target.
func (s *System) sumPeerLoads() {
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

// inFlight is the number of requests at the target over all nodes.
func (t *target) inFlight() int {
	return t.load.Running + t.load.Waiting + t.peerLoad.Running + t.peerLoad.Waiting
}

func (t *target) engineLoad() engineLoad {
	return engineLoad{
		Running: t.load.Running + t.peerLoad.Running, Waiting: t.load.Waiting + t.peerLoad.Waiting,
		WaitingTokens: t.load.WaitingTokens + t.peerLoad.WaitingTokens,
	}
}

// countEnd counts the end of an attempt for the failure rate.
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

// failureRate returns the part of recent attempts that failed. A few attempts
// say little, so that two that went well are added.
func (t *target) failureRate(now time.Duration) float64 {
	t.decay(now)
	return t.failedWeight / (t.endedWeight + 2)
}

// decayingRate is an exponentially weighted number of ends a second.
type decayingRate struct {
	perSecond float64
	updatedAt time.Duration
}

// rateTimeConstant is the time over which ends are averaged.
const rateTimeConstant = 2 * time.Second

func (r *decayingRate) add(now time.Duration) {
	r.decay(now)
	r.perSecond += 1 / rateTimeConstant.Seconds()
}

func (r *decayingRate) decay(now time.Duration) {
	elapsed := (now - r.updatedAt).Seconds() / rateTimeConstant.Seconds()
	r.updatedAt = now
	if elapsed > 0 {
		r.perSecond /= 1 + elapsed
	}
}
