package slopes

import (
	"fmt"
	"runtime"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// outageStart is the part of an outage in which evidence of the platform lasts.
const outageStart = 3 * time.Second

// measure returns the cost of one node under a load.
func (o Options) measure(l Load) (Point, error) {
	if l.Nodes < 1 || l.Replicas < 1 || l.Members < 1 || l.Members > domainHosts || l.Accounts < 1 || l.ChangesPerDay < 0 {
		return Point{}, errors.Errorf("load %+v is out of range", l)
	}
	began := time.Now()
	c, err := newCluster(l, o.Seed)
	if err != nil {
		return Point{}, err
	}
	before := heapInUse()
	c.start()
	c.run(o.warmup(l))
	c.down = l.Outage
	if l.Outage {
		c.run(outageStart)
	}
	c.meter = meter{}
	cpu, wall := processCPU(), time.Now()
	c.run(o.Window)
	c.down = false
	cpu, took := processCPU()-cpu, time.Since(wall)
	p := Point{Load: l, Serving: c.serving(), Wall: time.Since(began)}
	// The fakes run in the same process. Their part of its processor time, the
	// collection of garbage included, is taken to be their part of the wall
	// time, so that other processes on the machine do not count.
	share := float64(c.meter.inNodes) / float64(took)
	perNode := 1 / (float64(l.Nodes) * o.Window.Seconds())
	p.Cost = Cost{
		CPU:        100 * cpu.Seconds() * share * perNode,
		PeerBytes:  float64(c.meter.peerBytes) * perNode,
		PeerFrames: float64(c.meter.peerFrames) * perNode,
		Reads:      float64(c.meter.reads) * perNode,
		Writes:     float64(c.meter.writes) * perNode,
		HostLists:  float64(c.meter.hostLists) * perNode,
		TableBytes: float64(c.meter.tableBytes) * perNode,
		Probes:     float64(c.meter.probes) * perNode,
		Loads:      float64(c.meter.loads) * perNode,
	}
	for _, n := range c.nodes {
		p.Cost.PingBytes += n.pingBytes() / float64(l.Nodes)
	}
	p.LargestFrame = c.meter.largestFrame
	// Rows of the fake store and events in flight are counted to the nodes.
	p.Cost.Memory = float64(heapInUse()-before) / float64(l.Nodes) / (1 << 20)
	runtime.KeepAlive(c)
	if o.Progress != nil {
		_, _ = fmt.Fprintf(o.Progress, "%+v: %+v, %d serving, %.1fs\n", l, p.Cost, p.Serving, p.Wall.Seconds())
	}
	return p, nil
}

func heapInUse() int64 {
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
