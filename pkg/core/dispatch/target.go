package dispatch

import (
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const (
	// avoidTime is for how long a target that refused a connection or broke one
	// gets no new work from this node. The formation system finds out meanwhile
	// whether the group stands.
	avoidTime = 500 * time.Millisecond
	// fullTime is the same after a target said that its queue was full. It is a
	// few passes of an engine.
	fullTime = 150 * time.Millisecond
	// failureMemory is the time in which the weight of a failed request halves.
	failureMemory = 2 * time.Second
)

// target is a destination of requests: the leader of an open replica group, or
// a replica of a plain service.
type target struct {
	id         state.HostID
	service    string
	model      string
	group      state.GroupID
	epoch      uint64
	born       int64
	address    string
	dataCentre state.DataCentre
	engine     *state.EngineProfile
	pace       float64
	slots      int
	coldRate   float64
	coldUntil  time.Duration
	cold       coldBudget
	// usable is false once the target may get no new work.
	usable bool
	// load counts this node's attempts, peers those of the other nodes.
	load  state.TargetLoad
	peers state.TargetLoad
	// avoidUntil and fullUntil keep new work away for a time.
	avoidUntil time.Duration
	fullUntil  time.Duration
	// stalled counts attempts of this node that have fallen silent; suspect is
	// set while all that have begun are silent.
	stalled int
	suspect bool
	// failed and ended are counts of attempts whose weight halves in
	// failureMemory.
	failed, ended float64
	weighedAt     time.Duration
	jobs          map[state.RequestID]*job
}

// class holds the targets that the same requests can use.
type class struct {
	key     classKey
	targets []*target
	waiting []*job
	// rate is the number of requests a second that this node has ended here.
	rate endRate
}

type classKey struct {
	service string
	model   string
}

// rebuild takes the targets from the instances. A target keeps its counts while
// the same process leads the same group.
func (s *System) rebuild() {
	s.built = s.m.TargetInputsVersion
	if s.routes == nil || s.routes.version != s.m.PlatformConfig.Version {
		s.routes = newRoutes(s.m.PlatformConfig)
	}
	for _, t := range s.targets {
		t.usable = false
	}
	for _, c := range s.classes {
		c.targets = c.targets[:0]
	}
	for id, in := range s.m.Instances.All() {
		profile := s.routes.services[in.Service]
		if profile == nil || in.Draining || s.m.Evacuated[in.DataCentre] {
			continue
		}
		key := classKey{service: in.Service}
		if profile.Engine != nil {
			if in.Membership.Phase != state.MemberOpen {
				continue
			}
			key.model = in.LoadedModel
		}
		t := s.targets[id]
		if t == nil || t.born != in.StartID || t.group != in.Membership.Group || t.epoch != in.Membership.Epoch || t.address != in.Address {
			t = s.replace(t, id, in)
		}
		t.usable, t.service, t.model, t.dataCentre = true, in.Service, key.model, in.DataCentre
		t.engine, t.slots, t.coldRate, t.pace = profile.Engine, max(in.Slots, 1), profile.ColdRequestRate, 1
		if t.engine != nil {
			t.slots = max(t.engine.Slots, 1)
			if m := t.engine.Model(in.LoadedModel); m != nil {
				t.pace = m.TimeFactor
			}
		}
		if in.ColdRemaining > 0 {
			t.coldUntil = in.RevisionSeenAt + in.ColdRemaining
		}
		c := s.class(key)
		c.targets = append(c.targets, t)
	}
	for id, t := range s.targets {
		if !t.usable && len(t.jobs) == 0 {
			delete(s.targets, id)
			delete(s.m.StalledTargets, id)
			delete(s.m.Loads, id)
		}
	}
	s.countPeers()
}

// replace returns a new target at an instance. Attempts at an earlier life of
// it end by themselves.
func (s *System) replace(old *target, id state.HostID, in *state.Instance) *target {
	if old != nil {
		s.setSuspect(old, false, nil)
	}
	delete(s.m.StalledTargets, id)
	t := &target{
		id: id, group: in.Membership.Group, epoch: in.Membership.Epoch, born: in.StartID, address: in.Address,
		jobs: map[state.RequestID]*job{},
	}
	s.targets[id] = t
	t.load.Target = id
	s.m.Loads[id] = &t.load
	return t
}

func (s *System) class(key classKey) *class {
	c := s.classes[key]
	if c == nil {
		c = &class{key: key}
		s.classes[key] = c
		s.order = append(s.order, c)
		slices.SortFunc(s.order, func(a, b *class) int { return compareKeys(a.key, b.key) })
	}
	return c
}

func compareKeys(a, b classKey) int {
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

// countPeers sums what peers last said of each target.
func (s *System) countPeers() {
	for _, t := range s.targets {
		t.peers = state.TargetLoad{}
	}
	for _, loads := range s.m.PeerLoads {
		for _, l := range loads {
			if t := s.targets[l.Target]; t != nil {
				t.peers.Running += l.Running
				t.peers.Waiting += l.Waiting
				t.peers.WaitingTokens += l.WaitingTokens
			}
		}
	}
}

// inFlight is the number of requests at the target over all nodes.
func (t *target) inFlight() int {
	return t.load.Running + t.load.Waiting + t.peers.Running + t.peers.Waiting
}

func (t *target) engineLoad() engineLoad {
	return engineLoad{
		Running: t.load.Running + t.peers.Running, Waiting: t.load.Waiting + t.peers.Waiting,
		WaitingTokens: t.load.WaitingTokens + t.peers.WaitingTokens,
	}
}

// weigh counts the end of an attempt for the failure rate.
func (t *target) weigh(now time.Duration, failed bool) {
	t.decay(now)
	t.ended++
	if failed {
		t.failed++
	}
}

func (t *target) decay(now time.Duration) {
	for now-t.weighedAt >= failureMemory {
		t.failed, t.ended = t.failed/2, t.ended/2
		if t.ended < 0.1 {
			t.weighedAt = now
			return
		}
		t.weighedAt += failureMemory
	}
}

// failureRate returns the part of recent attempts that failed. A few attempts
// say little, so that two that went well are added.
func (t *target) failureRate(now time.Duration) float64 {
	t.decay(now)
	return t.failed / (t.ended + 2)
}

// endRate is an exponentially weighted number of ends a second.
type endRate struct {
	perSecond float64
	at        time.Duration
}

// rateMemory is the time over which ends are averaged.
const rateMemory = 2 * time.Second

func (r *endRate) add(now time.Duration) {
	r.decay(now)
	r.perSecond += 1 / rateMemory.Seconds()
}

func (r *endRate) decay(now time.Duration) {
	gap := (now - r.at).Seconds() / rateMemory.Seconds()
	r.at = now
	if gap > 0 {
		r.perSecond /= 1 + gap
	}
}
