package test

import (
	"fmt"
	"io"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"
)

// transcript records a session. Its golden file has placeholders for ids, times
// and addresses.
type transcript struct {
	t    *testing.T
	inst *installation
	text strings.Builder
	ids  []string
}

// header is an HTTP header of a call.
type header struct{ name, value string }

// addComment records a line that describes a step without output.
func (tr *transcript) addComment(text string) {
	tr.text.WriteString("# " + text + "\n")
}

// recordRequest sends a request and records it with its answer.
func (tr *transcript) recordRequest(method, name, path, body string, headers ...header) string {
	tr.t.Helper()
	status, answer := tr.request(method, name, path, body, headers...)
	fmt.Fprintf(&tr.text, "\n> %s %s%s", method, name, path)
	for _, h := range headers {
		fmt.Fprintf(&tr.text, " [%s: %s]", h.name, h.value)
	}
	if body != "" {
		fmt.Fprintf(&tr.text, " %s", body)
	}
	fmt.Fprintf(&tr.text, "\n%d\n%s\n", status, strings.TrimRight(answer, "\n"))
	return answer
}

// request sends a request with the key of the client account and returns the
// answer.
func (tr *transcript) request(method, name, path, body string, headers ...header) (status int, answer string) {
	tr.t.Helper()
	res, err := tr.openRequest(method, name, path, body, headers...)
	if err != nil {
		tr.t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		tr.t.Fatal(err)
	}
	return res.StatusCode, string(b)
}

// openRequest sends a request over a new connection and returns the response with
// its body still open.
func (tr *transcript) openRequest(method, name, path, body string, headers ...header) (*http.Response, error) {
	req, err := http.NewRequest(method, "http://"+tr.inst.address(name)+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer caller-key")
	req.Header.Set("Content-Type", "application/json")
	for _, h := range headers {
		req.Header.Set(h.name, h.value)
	}
	return (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Minute}).Do(req)
}

// recordOperator runs the operator command line and records its output and exit
// code.
func (tr *transcript) recordOperator(args ...string) {
	tr.t.Helper()
	out, code := tr.inst.runOperator(append(args, "--server", "http://"+tr.inst.address("n1-admin"), "--server", "http://"+tr.inst.address("n2-admin"))...)
	fmt.Fprintf(&tr.text, "\n$ apricotgrade %s\n%sexit %d\n", strings.Join(args, " "), out, code)
}

var (
	idPattern      = regexp.MustCompile(`\b(gen|req)-[0-9A-Z]{20,}\b`)
	createdPattern = regexp.MustCompile(`"created":\d+`)
	timePattern    = regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\dZ`)
	afterPattern   = regexp.MustCompile(`after \d+\.\d s`)
)

// normalised returns the transcript with placeholders for all values that differ
// between runs. Ids are numbered in the order of their first appearance.
func (tr *transcript) normalised() []byte {
	s := tr.text.String()
	names := make([]string, 0, len(tr.inst.addresses))
	for name := range tr.inst.addresses {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		// Padding to the width of an address keeps table columns aligned.
		s = strings.ReplaceAll(s, tr.inst.addresses[name], fmt.Sprintf("%-15s", "<"+name+">"))
	}
	s = idPattern.ReplaceAllStringFunc(s, func(id string) string {
		i := slices.Index(tr.ids, id)
		if i < 0 {
			i = len(tr.ids)
			tr.ids = append(tr.ids, id)
		}
		return fmt.Sprintf("%s-<%d>", id[:3], i+1)
	})
	s = createdPattern.ReplaceAllString(s, `"created":<time>`)
	s = timePattern.ReplaceAllString(s, "<time>              ")
	s = afterPattern.ReplaceAllString(s, "after <time>")
	lines := strings.Split(s, "\n")
	for i := range lines {
		lines[i] = strings.TrimRight(lines[i], " ")
	}
	return []byte(strings.Join(lines, "\n"))
}
