package node

import (
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/connlimit"
	"github.com/apricotgrade/apricotgrade/pkg/gateway"
	"github.com/apricotgrade/apricotgrade/pkg/memory"
	"github.com/apricotgrade/apricotgrade/pkg/metric"
	"github.com/apricotgrade/apricotgrade/pkg/settings"
)

const (
	// headerTimeout bounds the time within which a client of the peer, admin and
	// health check listeners must send its request headers.
	headerTimeout = 10 * time.Second
	// maxControlHeaderBytes bounds the request headers of these clients, which send few lines.
	maxControlHeaderBytes = 16 << 10
	// callerDescriptors is the part of the descriptors for connections of callers. Each
	// request needs another one for its target.
	callerDescriptors = 0.45
	// A hub is linked with up to 150 nodes. With 1,024 descriptors peers may use 204.
	peerDescriptors = 0.2
	// Operators and the load balancer open a few connections.
	controlDescriptors = 0.02
	// controlMemory is the part of the memory of callers' connections that those of each other
	// listener may hold.
	// With the least memory, 64 MB, this is enough for 160 peers.
	controlMemory = 0.35
	// headerMargin and headerMarginBytes are what the bound on a request header exceeds the
	// platform's limit by. Such a request still gets a typed error, and the bytes that are
	// read with the header belong to its body.
	headerMargin      = 2
	headerMarginBytes = 8 << 10
)

// connections creates the bounds on the connections of a node's listeners.
type connections struct {
	memory   int64
	recorder *metric.Recorder
	log      *slog.Logger
}

func (c connections) newPool(limits connlimit.Limits) *connlimit.Pool {
	pool := connlimit.New(limits, c.recorder, c.log)
	c.recorder.RegisterConnections(limits.Listener, pool)
	return pool
}

// callerConnections returns the pool of the connections of callers. The bound on a request
// header follows the configuration in force.
func (n *Node) callerConnections(cfg *settings.Node) *connlimit.Pool {
	return n.conns.newPool(connlimit.Limits{
		Listener: "callers", MemoryBytes: memory.ConnectionBytes(cfg.MemoryBytes()), DescriptorShare: callerDescriptors,
		HeaderBytes: func() int {
			if limit := n.daemon.Snapshot().CallerLimits.MaxHeaderBytes; limit > 0 {
				return min(headerMargin*limit, gateway.MaxServerHeaderBytes) + headerMarginBytes
			}
			return gateway.MaxServerHeaderBytes + headerMarginBytes
		},
	})
}

// limitedServer is an HTTP server for nodes, operators or the load balancer.
type limitedServer struct {
	*http.Server
	conns *connlimit.Pool
}

func (c connections) newServer(listener string, handler http.Handler) *limitedServer {
	share := controlDescriptors
	if listener == "peers" {
		share = peerDescriptors
	}
	conns := c.newPool(connlimit.Limits{
		Listener: listener, MemoryBytes: int64(controlMemory * float64(memory.ConnectionBytes(c.memory))), DescriptorShare: share,
		HeaderBytes: func() int { return maxControlHeaderBytes },
	})
	return &limitedServer{
		Server: &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxControlHeaderBytes, ConnState: conns.ConnState},
		conns:  conns,
	}
}

func (s *limitedServer) serve(l net.Listener) error { return s.Serve(s.conns.Listener(l)) }
