package state

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies requests with the same method, host name, path and body, which
// are repetitions of each other if they are of one client account. 0 stands for none.
type Fingerprint uint64

// NewFingerprint returns the fingerprint of a request.
func NewFingerprint(method, uri string, r *RoutedRequest, body []byte) Fingerprint {
	var d xxhash.Digest
	d.Reset()
	for _, part := range [][]byte{[]byte(method), []byte(r.HostName), []byte(uri), body} {
		// The length separates each part from the next one.
		_, _ = d.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = d.Write(part)
	}
	return Fingerprint(max(d.Sum64(), 1))
}

// of returns the number that identifies the repetitions of a request of a client account.
// The account may change its key between two of them. A request may end its targets for
// one account only.
func (f Fingerprint) of(account AccountID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(binary.BigEndian.AppendUint64(nil, uint64(f)))
	_, _ = d.WriteString(string(account))
	return d.Sum64()
}
