package slopes

import (
	"fmt"
	"runtime"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// evidenceExpiry is the virtual time from the start of an outage to the measured
// window. By then evidence that nodes got from the platform before the outage has
// expired.
const evidenceExpiry = 3 * time.Second

// measure simulates a load and returns the cost per node.
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
	c.run(o.warmupFor(l))
	c.platformDown = l.Outage
	if l.Outage {
		c.run(evidenceExpiry)
	}
	c.meter = meter{}
	cpu, windowStart := processorTime(), time.Now()
	c.run(o.Window)
	c.platformDown = false
	cpu, windowTime := processorTime()-cpu, time.Since(windowStart)
	p := Point{Load: l, ServingGroups: c.servingGroups(), WallTime: time.Since(start)}
	// The fakes run in the same process. Their share of its processor time,
	// including garbage collection, is assumed to equal their share of the wall
	// time. The result is based on processor time, so other processes on the
	// machine do not affect it.
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
	// The heap includes rows of the fake store and pending events; they are
	// attributed to the nodes.
	p.Cost.Memory = float64(heapAllocated()-heapBefore) / float64(l.Nodes) / (1 << 20)
	runtime.KeepAlive(c)
	if o.Progress != nil {
		_, _ = fmt.Fprintf(o.Progress, "%+v: %+v, %d serving, %.1fs\n", l, p.Cost, p.ServingGroups, p.WallTime.Seconds())
	}
	return p, nil
}

// heapAllocated returns the bytes of heap objects after a garbage collection.
func heapAllocated() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// processorTime returns the processor time that this process has used, in user and
// kernel mode.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(errors.Wrap(err, "read processor time"))
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
