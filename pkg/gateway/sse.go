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
	// streamBufferBytes is the size of the read buffer of a stream. It holds several
	// events of the usual size and is small compared with the goal of 64 KB per open
	// stream.
	streamBufferBytes = 4 << 10
	// maxEventBytes bounds the size of one event.
	maxEventBytes = 1 << 20
	// maxPooledBufferBytes is the size up to which event buffers return to the pool.
	maxPooledBufferBytes = 16 << 10
)

var (
	endMarkerEvent  = []byte("data: [DONE]\n\n")
	endMarkerData   = []byte("[DONE]")
	errEventTooLong = errors.New("a stream event exceeds 1 MiB")
)

// event holds the attributes of a stream event that the relay uses.
type event struct {
	// id is the offset after the event as the engine sent it, or -1 without one.
	id int64
	// isEndMarker is set for the event that marks the end of a complete stream.
	isEndMarker bool
}

// eventReader reads the events of a stream one by one.
type eventReader struct {
	r *bufio.Reader
	// lines holds the lines of the last event without its id field.
	lines []byte
	// numberedEvent holds the last result of withID.
	numberedEvent []byte
}

var eventReaderPool = sync.Pool{New: func() any {
	return &eventReader{r: bufio.NewReaderSize(nil, streamBufferBytes)}
}}

func newEventReader(r io.Reader) *eventReader {
	e := eventReaderPool.Get().(*eventReader)
	e.r.Reset(r)
	return e
}

// release returns the reader to the pool unless its buffers have grown too large.
func (e *eventReader) release() {
	e.r.Reset(nil)
	if cap(e.lines) <= maxPooledBufferBytes && cap(e.numberedEvent) <= maxPooledBufferBytes {
		eventReaderPool.Put(e)
	}
}

// hasBuffered reports whether more of the stream has already been read.
func (e *eventReader) hasBuffered() bool { return e.r.Buffered() > 0 }

// next reads an event up to its empty line and omits comments. The end of the stream
// is an error, because a complete stream has an end marker before it.
func (e *eventReader) next() (event, error) {
	ev := event{id: -1}
	e.lines = e.lines[:0]
	hasData := false
	for {
		line, err := e.readLine()
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
			e.lines = e.lines[:0]
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
			ev.isEndMarker = bytes.Equal(value, endMarkerData)
		}
		if len(e.lines)+len(line) > maxEventBytes {
			return ev, errEventTooLong
		}
		e.lines = append(append(e.lines, line...), '\n')
	}
}

// readLine returns a line without its line ending. The result is valid until the next
// read.
func (e *eventReader) readLine() ([]byte, error) {
	line, err := e.r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		longLine := bytes.Clone(line)
		for errors.Is(err, bufio.ErrBufferFull) && len(longLine) <= maxEventBytes {
			line, err = e.r.ReadSlice('\n')
			longLine = append(longLine, line...)
		}
		line = longLine
	}
	if err != nil {
		return nil, errors.Wrap(err, "read stream")
	}
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte{'\n'}), []byte{'\r'}), nil
}

// withID returns the last event with the given offset as its id. The result is valid
// until the next call.
func (e *eventReader) withID(offset int64) []byte {
	e.numberedEvent = append(e.numberedEvent[:0], "id: "...)
	e.numberedEvent = strconv.AppendInt(e.numberedEvent, offset, 10)
	e.numberedEvent = append(e.numberedEvent, '\n')
	e.numberedEvent = append(e.numberedEvent, e.lines...)
	e.numberedEvent = append(e.numberedEvent, '\n')
	return e.numberedEvent
}

// writeErrorEvent ends a stream with a typed error event. No end marker follows it.
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
