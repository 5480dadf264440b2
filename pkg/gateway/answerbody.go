package gateway

import (
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/apricotgrade/apricotgrade/pkg/memory"
)

const (
	// maxRoutedAnswerBytes bounds an unstreamed answer, which is buffered completely.
	maxRoutedAnswerBytes = 8 << 20
	// maxUnsignedAnswerBytes bounds the answer of a failure that no target has signed.
	maxUnsignedAnswerBytes = 64 << 10
	// answerSegmentBytes is the size of the segments of a large answer.
	answerSegmentBytes = 256 << 10
)

// bufferedAnswer is a complete answer in memory.
type bufferedAnswer struct {
	status int
	header http.Header
	body   answerBody
	// held is the memory of the body.
	held *memory.Reservation
}

// answerBody holds a body in segments, so that it grows without a second copy.
type answerBody [][]byte

func (b answerBody) size() (size int) {
	for _, segment := range b {
		size += len(segment)
	}
	return size
}

// writeTo writes the body. Its error is not needed: an answer whose caller has left is dropped.
func (b answerBody) writeTo(w io.Writer) {
	for _, segment := range b {
		if _, err := w.Write(segment); err != nil {
			return
		}
	}
}

// answerReader reads a body of at most limit bytes into memory that it reserves.
type answerReader struct {
	body  io.Reader
	limit int64
	held  *memory.Reservation
}

// read reads a body to its end. length is the declared length in bytes, or -1. A large answer
// waits for memory until the context ends. The error is errTooLong, errMemoryFull or that of
// the context or the body.
func (r *answerReader) read(ctx context.Context, length int64) (answerBody, error) {
	switch {
	case length > r.limit:
		return nil, errTooLong
	case length >= 0:
		if err := r.reserve(ctx, length); err != nil {
			return nil, err
		}
		buffer := make([]byte, length)
		_, err := io.ReadFull(r.body, buffer)
		return answerBody{buffer}, err
	}
	// One byte more shows that the body is too long.
	end := r.limit + 1
	body, done, err := r.readSmall(min(end, memory.SmallBodyBytes))
	filled := int64(body.size())
	switch {
	case err != nil || done:
		return body, err
	case filled == end:
		return nil, errTooLong
	}
	return r.readRest(ctx, body, end-filled)
}

// readSmall reads up to size bytes of a body into segments that grow with it.
func (r *answerReader) readSmall(size int64) (body answerBody, done bool, err error) {
	for filled := int64(0); filled < size && !done; filled = int64(body.size()) {
		next := min(max(filled, initialBufferBytes), size-filled)
		if !r.held.Grow(next, memory.Answer) {
			return nil, false, errMemoryFull
		}
		var segment []byte
		if segment, done, err = r.readSegment(next); err != nil {
			return nil, false, err
		}
		body = append(body, segment)
	}
	return body, done, nil
}

// readRest reads the rest of a large body whose length is not declared, up to size bytes. It
// reserves them in one step: if all answers of a burst grew step by step, none of them might
// get as far as its end.
func (r *answerReader) readRest(ctx context.Context, body answerBody, size int64) (answerBody, error) {
	if err := r.reserve(ctx, size); err != nil {
		return nil, err
	}
	for left := size; left > 0; {
		segment, done, err := r.readSegment(min(answerSegmentBytes, left))
		if err != nil {
			return nil, err
		}
		body, left = append(body, segment), left-int64(len(segment))
		if done {
			r.held.Shrink(left)
			return body, nil
		}
	}
	return nil, errTooLong
}

// readSegment reads a segment. done is set at the end of the body.
func (r *answerReader) readSegment(size int64) (segment []byte, done bool, err error) {
	segment = make([]byte, size)
	for filled := 0; filled < len(segment); {
		n, err := r.body.Read(segment[filled:])
		filled += n
		switch {
		case errors.Is(err, io.EOF):
			return segment[:filled], true, nil
		case err != nil:
			return nil, false, err
		}
	}
	return segment, false, nil
}

// reserve reserves memory for a part of an answer.
func (r *answerReader) reserve(ctx context.Context, size int64) error {
	if memory.AnswerPurpose(size) == memory.Answer {
		if !r.held.Grow(size, memory.Answer) {
			return errMemoryFull
		}
		return nil
	}
	err := r.held.GrowForAnswer(ctx, size)
	if errors.Is(err, memory.ErrTooLarge) {
		return errMemoryFull
	}
	return err
}
