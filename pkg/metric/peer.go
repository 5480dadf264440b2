package metric

import "github.com/VictoriaMetrics/metrics"

// peers measures the links to other entry daemons.
type peers struct {
	sent     *metrics.Counter
	received *metrics.Counter
}

func newPeers(set *metrics.Set) *peers {
	return &peers{
		sent:     set.NewCounter(`apricotgrade_peer_bytes_total{direction="sent"}`),
		received: set.NewCounter(`apricotgrade_peer_bytes_total{direction="received"}`),
	}
}

// PeerSent records the bytes of frames sent to peers.
func (r *Recorder) PeerSent(bytes int) { r.peers.sent.Add(bytes) }

// PeerReceived records the bytes of frames received from peers.
func (r *Recorder) PeerReceived(bytes int) { r.peers.received.Add(bytes) }
