package gateway

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/pkg/errors"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
)

const (
	// streamBuffer is the read buffer of a stream. It holds several events of
	// the usual size and is small against the goal of 64 KB per open stream.
	streamBuffer = 4 << 10
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
	// keptScratch is the largest event buffer that goes back to the pool.
	keptScratch = 16 << 10
)

var (
	endEvent   = []byte("data: [DONE]\n\n")
	endData    = []byte("[DONE]")
	errTooLong = errors.New("an event of the stream is over 1 MiB")
)

// event is what the relay needs to know of one event.
type event struct {
	// id is the offset after the event as the engine gave it; -1 without one.
	id int64
	// end is set for the end marker.
	end bool
}

// eventReader reads the events of a stream one by one.
type eventReader struct {
	r *bufio.Reader
	// text holds the lines of the last event without its id.
	text []byte
	// out holds the last event with its id.
	out []byte
}

var readers = sync.Pool{New: func() any {
	return &eventReader{r: bufio.NewReaderSize(nil, streamBuffer)}
}}

func newEventReader(r io.Reader) *eventReader {
	e := readers.Get().(*eventReader)
	e.r.Reset(r)
	return e
}

func (e *eventReader) release() {
	e.r.Reset(nil)
	if cap(e.text) <= keptScratch && cap(e.out) <= keptScratch {
		readers.Put(e)
	}
}

// buffered reports whether more of the stream has arrived already.
func (e *eventReader) buffered() bool { return e.r.Buffered() > 0 }

// next reads an event up to its empty line. Comments are left out. The end of
// the stream is an error, since a whole stream has its end marker first.
func (e *eventReader) next() (event, error) {
	ev := event{id: -1}
	e.text = e.text[:0]
	hasData := false
	for {
		line, err := e.line()
		if err != nil {
			return ev, err
		}
		field, value := line, []byte(nil)
		if i := bytes.IndexByte(line, ':'); i >= 0 {
			field, value = line[:i], bytes.TrimPrefix(line[i+1:], []byte{' '})
		}
		switch {
		case len(line) == 0:
			if hasData {
				return ev, nil
			}
			e.text = e.text[:0]
			continue
		case len(field) == 0:
			continue
		case string(field) == "id":
			if n, err := strconv.ParseInt(string(value), 10, 64); err == nil {
				ev.id = n
			}
			continue
		case string(field) == "data":
			hasData = true
			ev.end = bytes.Equal(value, endData)
		}
		if len(e.text)+len(line) > maxEventBytes {
			return ev, errTooLong
		}
		e.text = append(append(e.text, line...), '\n')
	}
}

// line reads a line without its end. The result is valid until the next read.
func (e *eventReader) line() ([]byte, error) {
	line, err := e.r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		long := bytes.Clone(line)
		for errors.Is(err, bufio.ErrBufferFull) && len(long) <= maxEventBytes {
			line, err = e.r.ReadSlice('\n')
			long = append(long, line...)
		}
		line = long
	}
	if err != nil {
		return nil, errors.Wrap(err, "read stream")
	}
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte{'\n'}), []byte{'\r'}), nil
}

// numbered returns the last event with the offset after it as its id.
func (e *eventReader) numbered(offset int64) []byte {
	e.out = append(e.out[:0], "id: "...)
	e.out = strconv.AppendInt(e.out, offset, 10)
	e.out = append(e.out, '\n')
	e.out = append(e.out, e.text...)
	e.out = append(e.out, '\n')
	return e.out
}

// writeErrorEvent ends a stream with a typed error. There is no end marker
// after it.
func writeErrorEvent(w http.ResponseWriter, e *apierror.Error) {
	b, err := json.Marshal(errorBody{e})
	if err != nil {
		return
	}
	_, _ = w.Write([]byte("event: error\ndata: "))
	_, _ = w.Write(b)
	_, _ = w.Write([]byte("\n\n"))
	_ = http.NewResponseController(w).Flush()
}
