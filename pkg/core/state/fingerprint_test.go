package state

import (
	"testing"

	"github.com/onsi/gomega"
)

// TestFingerprintIdentifiesTheSameRequest guards against repetitions of a request that are
// not recognised, because each attempt has another ID and deadline or the account another
// key, and against requests that are taken for the same although their account, path or
// body differs.
func TestFingerprintIdentifiesTheSameRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	of := func(method, host, uri, body string, account AccountID, key byte, attempt string) Trait {
		r := &RoutedRequest{HostName: host, KeyHash: [32]byte{key}, AttemptID: attempt}
		r.Fingerprint = NewFingerprint(method, uri, r, []byte(body))
		return r.Traits(account, false)[0]
	}
	same := of("GET", "shop", "/a/b?c=d", "body", "a", 1, "x")
	g.Expect(same.Kind).To(gomega.Equal(RequestTrait))
	g.Expect(of("GET", "shop", "/a/b?c=d", "body", "a", 2, "y")).To(gomega.Equal(same))
	for _, other := range []Trait{
		of("POST", "shop", "/a/b?c=d", "body", "a", 1, "x"), of("GET", "desk", "/a/b?c=d", "body", "a", 1, "x"), of("GET", "shop", "/a/b?c=e", "body", "a", 1, "x"),
		of("GET", "shop", "/a/b?c=d", "", "a", 1, "x"), of("GET", "shop", "/a/b?c=d", "body", "b", 1, "x"), of("GET", "shop", "/a/b?c=db", "ody", "a", 1, "x"),
		of("GET", "shop/a", "/b?c=d", "body", "a", 1, "x"),
	} {
		g.Expect(other).NotTo(gomega.Equal(same))
	}
}
