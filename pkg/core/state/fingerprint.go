package state

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies requests of one caller with the same method, host name, path and
// body, which are repetitions of each other. 0 stands for none.
type Fingerprint uint64

// NewFingerprint returns the fingerprint of a request. The key of the caller is part of it,
// so that no caller can send a request with the fingerprint of another one's.
func NewFingerprint(method, uri string, r *RoutedRequest, body []byte) Fingerprint {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(r.KeyHash[:])
	for _, part := range [][]byte{[]byte(method), []byte(r.HostName), []byte(uri), body} {
		// The length separates each part from the next one.
		_, _ = d.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = d.Write(part)
	}
	return Fingerprint(max(d.Sum64(), 1))
}
