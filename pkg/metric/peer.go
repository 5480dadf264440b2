package metric

import "github.com/VictoriaMetrics/metrics"

// peerMetrics counts the bytes on the links to other entry daemons.
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

// PeerBytesSent adds the bytes of a frame sent to a peer.
func (r *Recorder) PeerBytesSent(bytes int) { r.peers.bytesSent.Add(bytes) }

// PeerBytesReceived adds the bytes of a frame received from a peer.
func (r *Recorder) PeerBytesReceived(bytes int) { r.peers.bytesReceived.Add(bytes) }
