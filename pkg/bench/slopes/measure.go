package slopes

import (
	"fmt"
	"runtime"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// evidenceExpiry is the part of an outage in which evidence of the platform lasts.
const evidenceExpiry = 3 * time.Second

// measure returns the cost of one node under a load.
func (o Options) measure(l Load) (Point, error) {
	if l.Nodes < 1 || l.Replicas < 1 || l.Members < 1 || l.Members > hostsPerDomain || l.Accounts < 1 || l.ChangesPerDay < 0 {
		return Point{}, errors.Errorf("load %+v is out of range", l)
	}
	start := time.Now()
	c, err := newCluster(l, o.Seed)
	if err != nil {
		return Point{}, err
	}
	heapBefore := heapAllocated()
	c.start()
	c.advance(o.warmupFor(l))
	c.platformDown = l.Outage
	if l.Outage {
		c.advance(evidenceExpiry)
	}
	c.meter = meter{}
	cpu, windowStart := processCPU(), time.Now()
	c.advance(o.Window)
	c.platformDown = false
	cpu, windowTime := processCPU()-cpu, time.Since(windowStart)
	p := Point{Load: l, ServingGroups: c.servingGroups(), WallTime: time.Since(start)}
	// The fakes run in the same process. Their part of its processor time, the
	// collection of garbage included, is taken to be their part of the wall
	// time, so that other processes on the machine do not count.
	nodeShare := float64(c.meter.nodeTime) / float64(windowTime)
	perNodeSecond := 1 / (float64(l.Nodes) * o.Window.Seconds())
	p.Cost = Cost{
		CPU:        100 * cpu.Seconds() * nodeShare * perNodeSecond,
		PeerBytes:  float64(c.meter.peerBytes) * perNodeSecond,
		PeerFrames: float64(c.meter.peerFrames) * perNodeSecond,
		Reads:      float64(c.meter.reads) * perNodeSecond,
		Writes:     float64(c.meter.writes) * perNodeSecond,
		HostLists:  float64(c.meter.hostLists) * perNodeSecond,
		TableBytes: float64(c.meter.tableBytes) * perNodeSecond,
		Probes:     float64(c.meter.probes) * perNodeSecond,
		Loads:      float64(c.meter.loads) * perNodeSecond,
	}
	for _, n := range c.nodes {
		p.Cost.PingBytes += n.pingBytes() / float64(l.Nodes)
	}
	p.LargestFrame = c.meter.largestFrame
	// Rows of the fake store and events in flight are counted to the nodes.
	p.Cost.Memory = float64(heapAllocated()-heapBefore) / float64(l.Nodes) / (1 << 20)
	runtime.KeepAlive(c)
	if o.Progress != nil {
		_, _ = fmt.Fprintf(o.Progress, "%+v: %+v, %d serving, %.1fs\n", l, p.Cost, p.ServingGroups, p.WallTime.Seconds())
	}
	return p, nil
}

func heapAllocated() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// processCPU returns the processor time of this process.
func processCPU() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(errors.Wrap(err, "read processor time"))
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
