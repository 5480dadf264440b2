package gateway

import (
	"bufio"
	"net/http"
	"strings"
	"testing"
)

// FuzzTargetURL guards against a path or query that reaches a target changed: the request
// that is written for a caller's request line must have the same one, and name no other host.
func FuzzTargetURL(f *testing.F) {
	for _, target := range []string{
		"/", "//", "//orders/7", "//orders/7?copy=1", "///a", "//user@host:80/a", "/a//b", "/a%2Fb", "//a%2fb%20c", "/?", "//?", "/a?b?c", "//a b",
		"/a\"b", "//a\"b", "//\xff", "/\xff", "//[::1]/a", "//%zz", "/a#b", "/a:b", "//a;b=c,d",
	} {
		f.Add(target)
	}
	f.Fuzz(func(t *testing.T, target string) {
		line := "POST " + target + " HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 0\r\n\r\n"
		received, err := http.ReadRequest(bufio.NewReader(strings.NewReader(line)))
		if err != nil || received.RequestURI != target || !strings.HasPrefix(target, "/") {
			return
		}
		u, err := targetURL("10.0.0.1:80", received.RequestURI)
		if err != nil {
			if !strings.HasPrefix(target, "//") {
				t.Errorf("%q is refused: %v", target, err)
			}
			return
		}
		var written strings.Builder
		sent := &http.Request{Method: http.MethodPost, URL: u, Host: received.Host, Header: http.Header{}}
		if err := sent.Write(&written); err != nil {
			return
		}
		arrived, err := http.ReadRequest(bufio.NewReader(strings.NewReader(written.String())))
		if err != nil || arrived.RequestURI != target || arrived.Host != received.Host {
			t.Errorf("%q is sent as %q", target, written.String())
		}
	})
}
