package transport

import (
	"bytes"
	"regexp"
	"strings"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrMalformedHead means that a peer has sent bytes that are not the head of an answer. It is part
// of the errors of requests.
var ErrMalformedHead = errors.New("the head of the answer is malformed")

// statusLine is the first line of a head (RFC 9112, section 4) of any minor version of HTTP/1. Its
// submatches are the minor version and the status. Several blanks may separate its parts, as the
// section allows, and the blank after the status may be missing.
var statusLine = regexp.MustCompile(`^HTTP/1\.([0-9]) +([1-9][0-9]{2})(?: [^\x00-\x08\x0a-\x1f\x7f]*)?$`)

// switchingProtocols is a status that answers only requests with an Upgrade field, which this node
// never sends.
const switchingProtocols = "101"

// headPart is the part of an answer that the next line belongs to.
type headPart uint8

const (
	partStatusLine headPart = iota
	partFields
	partBody
)

// headCheck checks the heads of an answer, of which all but the last are informational, while
// they are read. net/http also accepts heads that are none.
type headCheck struct {
	next headPart
	// isInformational is set in a head with a 1xx status, and isHTTP10 in one of HTTP/1.0.
	isInformational, isHTTP10 bool
	// partialLine is the beginning of a line. The transport bounds the size of a head.
	partialLine []byte
	// err wraps ErrMalformedHead once a line is malformed.
	err error
}

// check checks the next bytes of an answer.
func (h *headCheck) check(b []byte) {
	for h.next != partBody && h.err == nil {
		line, rest, isWhole := bytes.Cut(b, []byte("\n"))
		if !isWhole {
			h.partialLine = append(h.partialLine, line...)
			return
		}
		if len(h.partialLine) > 0 {
			line, h.partialLine = append(h.partialLine, line...), nil
		}
		h.err = h.checkLine(bytes.TrimSuffix(line, []byte("\r")))
		b = rest
	}
}

func (h *headCheck) checkLine(line []byte) error {
	switch {
	case h.next == partStatusLine:
		return h.checkStatusLine(line)
	case len(line) > 0:
		return h.checkField(line)
	case h.isInformational:
		h.next = partStatusLine
	default:
		h.next = partBody
	}
	return nil
}

func (h *headCheck) checkStatusLine(line []byte) error {
	match := statusLine.FindSubmatch(line)
	if match == nil || string(match[2]) == switchingProtocols {
		return errors.Wrapf(ErrMalformedHead, "status line %.40q", line)
	}
	h.next, h.isInformational, h.isHTTP10 = partFields, match[2][0] == '1', match[1][0] == '0'
	return nil
}

// checkField checks a line of a head. A blank at its beginning makes it the continuation of the
// line before, which RFC 9112 (section 5.2) lets a gateway refuse: net/http reads no length and
// no coding from it. Nor does it read a coding from an answer of HTTP/1.0, the framing of which
// is then faulty (section 6.1).
func (h *headCheck) checkField(line []byte) error {
	name, value, hasColon := strings.Cut(string(line), ":")
	switch {
	case !hasColon, !httpguts.ValidHeaderFieldName(name), !httpguts.ValidHeaderFieldValue(value):
		return errors.Wrapf(ErrMalformedHead, "field %.40q", line)
	case h.isHTTP10 && strings.EqualFold(name, "Transfer-Encoding"):
		return errors.Wrap(ErrMalformedHead, "transfer coding in an answer of HTTP/1.0")
	}
	return nil
}
