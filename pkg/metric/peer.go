package metric

import "github.com/VictoriaMetrics/metrics"

// peerMetrics measures the links to other entry daemons.
type peerMetrics struct {
	bytesSent     *metrics.Counter
	bytesReceived *metrics.Counter
}

func newPeerMetrics(set *metrics.Set) *peerMetrics {
	return &peerMetrics{
		bytesSent:     set.NewCounter(`apricotgrade_peer_bytes_total{direction="sent"}`),
		bytesReceived: set.NewCounter(`apricotgrade_peer_bytes_total{direction="received"}`),
	}
}

// PeerBytesSent records the bytes of frames sent to peers.
func (r *Recorder) PeerBytesSent(bytes int) { r.peers.bytesSent.Add(bytes) }

// PeerBytesReceived records the bytes of frames received from peers.
func (r *Recorder) PeerBytesReceived(bytes int) { r.peers.bytesReceived.Add(bytes) }
