package state

import (
	"testing"

	"github.com/onsi/gomega"
)

// TestFingerprintIdentifiesTheSameRequest guards against repetitions of a request that are
// not recognised, because each attempt has another ID and deadline, and against requests
// that are taken for the same although their caller, path or body differs.
func TestFingerprintIdentifiesTheSameRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	of := func(method, host, uri, body string, key byte, attempt string) Fingerprint {
		return NewFingerprint(method, uri, &RoutedRequest{HostName: host, KeyHash: [32]byte{key}, AttemptID: attempt}, []byte(body))
	}
	same := of("GET", "shop", "/a/b?c=d", "body", 1, "x")
	g.Expect(same).NotTo(gomega.BeZero())
	g.Expect(of("GET", "shop", "/a/b?c=d", "body", 1, "y")).To(gomega.Equal(same))
	for _, other := range []Fingerprint{
		of("POST", "shop", "/a/b?c=d", "body", 1, "x"), of("GET", "desk", "/a/b?c=d", "body", 1, "x"), of("GET", "shop", "/a/b?c=e", "body", 1, "x"),
		of("GET", "shop", "/a/b?c=d", "", 1, "x"), of("GET", "shop", "/a/b?c=d", "body", 2, "x"), of("GET", "shop", "/a/b?c=db", "ody", 1, "x"),
		of("GET", "shop/a", "/b?c=d", "body", 1, "x"),
	} {
		g.Expect(other).NotTo(gomega.Equal(same))
	}
}
