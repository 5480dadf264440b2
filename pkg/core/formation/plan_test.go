package formation

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

var models = []state.ModelProfile{
	{Name: large, GroupSize: 4, InitialShare: 0.67, FullLoadTime: 16 * time.Second},
	{Name: small, GroupSize: 2, InitialShare: 0.33, FullLoadTime: 12 * time.Second},
}

func hostsOf(domain, model string, n int, staged ...string) []freeHost {
	var out []freeHost
	for i := range n {
		out = append(out, freeHost{
			id: state.HostID(domain + model + string(rune('a'+i))), domain: state.DomainID(domain), model: model, staged: staged,
		})
	}
	return out
}

// TestChooseGroupByWork guards against a model whose groups are full and that
// gets no further one because another model lacks more of its declared number.
func TestChooseGroupByWork(t *testing.T) {
	g := gomega.NewWithT(t)
	free := hostsOf("d", large, 4, small)
	live := map[string]int{large: 5, small: 3}
	c, ok := chooseGroup(free, models, live, nil, map[string]float64{large: 4, small: 6}, true)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(c.model.Name).To(gomega.Equal(small))
	c, ok = chooseGroup(free, models, live, nil, map[string]float64{large: 9, small: 4}, true)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(c.model.Name).To(gomega.Equal(large))
}

// TestChooseGroupStaysInADomain guards against a group across fabric domains,
// which runs several times slower, and against one that waits for a load.
func TestChooseGroupStaysInADomain(t *testing.T) {
	g := gomega.NewWithT(t)
	free := append(hostsOf("d1", large, 3, small), hostsOf("d2", large, 1, small)...)
	c, ok := chooseGroup(free, models, nil, nil, map[string]float64{large: 9, small: 1}, true)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(c.model.Name).To(gomega.Equal(small))
	_, ok = chooseGroup(hostsOf("d1", "", 4), models, nil, nil, map[string]float64{large: 9, small: 1}, true)
	g.Expect(ok).To(gomega.BeFalse())
}

// TestExchangeForALargeGroup replays the loss of a member of a large group beside
// a small one that is not needed: the small group gives its hosts.
func TestExchangeForALargeGroup(t *testing.T) {
	g := gomega.NewWithT(t)
	spare := &group{id: "s"}
	d := domainState{
		domain: "d", free: map[string]int{large: 3, small: 3},
		groups: map[string][]*group{small: {spare}}, able: map[string]map[*group]bool{large: {spare: true}},
	}
	e, ok := chooseExchange([]domainState{d}, models, map[string]int{large: 5, small: 12}, map[string]float64{large: 5, small: 5})
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(e.ended).To(gomega.Equal([]*group{spare}))
	g.Expect(e.to).To(gomega.Equal(large))
}

// TestExchangeSparesTheBusyModel replays a small model whose groups are full:
// none of them ends for a large group that would be less busy.
func TestExchangeSparesTheBusyModel(t *testing.T) {
	g := gomega.NewWithT(t)
	busy := &group{id: "s"}
	d := domainState{
		domain: "d", free: map[string]int{large: 3, small: 3},
		groups: map[string][]*group{small: {busy}}, able: map[string]map[*group]bool{large: {busy: true}},
	}
	_, ok := chooseExchange([]domainState{d}, models, map[string]int{large: 5, small: 5}, map[string]float64{large: 4, small: 5.6})
	g.Expect(ok).To(gomega.BeFalse())
}

// TestExchangeForSmallGroups replays a small model that lacks groups while large
// ones have little work: a large group makes up two small ones.
func TestExchangeForSmallGroups(t *testing.T) {
	g := gomega.NewWithT(t)
	idle := &group{id: "l"}
	d := domainState{
		domain: "d", free: map[string]int{}, groups: map[string][]*group{large: {idle}},
		able: map[string]map[*group]bool{small: {idle: true}},
	}
	e, ok := chooseExchange([]domainState{d}, models, map[string]int{large: 6, small: 2}, map[string]float64{large: 2, small: 5})
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(e.gained).To(gomega.Equal(2))
}

// TestStagingCompletesAGroup replays an empty host that comes to a domain with
// three survivors of a large group: it loads what makes up the group.
func TestStagingCompletesAGroup(t *testing.T) {
	g := gomega.NewWithT(t)
	free := append(hostsOf("d", large, 3, large), hostsOf("d", "", 1)...)
	chosen := chooseStaging(free, models, map[string]int{large: 4, small: 9}, map[string]float64{large: 5, small: 5})
	g.Expect(chosen).To(gomega.Equal([]load{{"da", large, 1}}))
}

// TestStagingKeepsAnotherModel guards against a host that can serve one model
// only: beside the one that it served last it is to hold another.
func TestStagingKeepsAnotherModel(t *testing.T) {
	g := gomega.NewWithT(t)
	chosen := chooseStaging(hostsOf("d", small, 1, small), models, map[string]int{large: 4, small: 9}, map[string]float64{large: 5, small: 5})
	g.Expect(chosen).To(gomega.Equal([]load{{"dsmalla", large, noGroup}}))
	chosen = chooseStaging(hostsOf("d", small, 1, large), models, map[string]int{large: 4, small: 9}, map[string]float64{large: 5, small: 5})
	g.Expect(chosen).To(gomega.BeEmpty())
}

// TestWantedGroupsAtTheStart guards against more large groups than domains can
// repair: hosts of small groups beside them make them up again.
func TestWantedGroupsAtTheStart(t *testing.T) {
	g := gomega.NewWithT(t)
	wanted := wantedGroups(models, map[string]float64{large: 0.67 / 4, small: 0.33 / 2}, 48)
	g.Expect(wanted).To(gomega.Equal(map[string]int{large: 6, small: 12}))
}

// TestLoadsAtOnceAreBounded guards against more loads than the weight store
// serves at once, each of which then takes longer: orders count before they are
// answered.
func TestLoadsAtOnceAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t)
	r.startTraffic()
	for i := range 12 {
		r.add(state.HostID(fmt.Sprintf("new%02d", i)), "d9")
	}
	n := len(r.orders)
	r.run(3 * time.Second)
	loads := 0
	for _, o := range r.orders[n:] {
		if o.Operation == state.HostStage {
			loads++
		}
	}
	g.Expect(loads).To(gomega.And(gomega.BeNumerically(">", 0), gomega.BeNumerically("<=", r.engine.MaxConcurrentLoads)))
}
