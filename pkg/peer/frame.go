package peer

import (
	"reflect"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const (
	// protocolVersion is incremented for every incompatible change of a frame.
	protocolVersion = 1
	// maxFrameBytes limits the size of sent and received frames. A configuration
	// of 1,500 routes takes about 400 KB.
	maxFrameBytes = 2 << 20
	// maxFrameItems and maxFrameDepth limit what the decoder allocates for a
	// frame, because a small frame can declare large or deeply nested
	// collections.
	maxFrameItems = 256 << 10
	maxFrameDepth = 16
)

var decoder = newDecoder()

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		MaxArrayElements:  maxFrameItems,
		MaxMapPairs:       maxFrameItems,
		MaxNestedLevels:   maxFrameDepth,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode()
	if err != nil {
		panic(errors.Wrap(err, "build frame decoder"))
	}
	return mode
}

// frame is a message that is encoded once, however many links send it.
type frame struct {
	message state.Message
	once    sync.Once
	encoded []byte
	err     error
}

func (f *frame) encode() ([]byte, error) {
	f.once.Do(func() { f.encoded, f.err = encodeMessage(f.message) })
	return f.encoded, f.err
}

// encodeMessage encodes a message as a frame. It returns an error if the frame
// exceeds maxFrameBytes.
func encodeMessage(m state.Message) ([]byte, error) {
	frame, err := cbor.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "encode peer message")
	}
	if len(frame) > maxFrameBytes {
		return nil, errors.Errorf("peer message of %d bytes exceeds the limit of %d bytes", len(frame), maxFrameBytes)
	}
	return frame, nil
}

// decodeMessage decodes a frame. It returns an error if the frame does not
// contain exactly one message.
func decodeMessage(frame []byte) (state.Message, error) {
	var m state.Message
	if err := decoder.Unmarshal(frame, &m); err != nil {
		return state.Message{}, errors.Wrap(err, "decode peer message")
	}
	if n := messageCount(&m); n != 1 {
		return state.Message{}, errors.Errorf("peer frame contains %d messages instead of 1", n)
	}
	return m, nil
}

// messageCount returns the number of fields that are set. It uses reflection so
// that every new kind of message is counted.
func messageCount(m *state.Message) int {
	n := 0
	v := reflect.ValueOf(m).Elem()
	for i := range v.NumField() {
		if !v.Field(i).IsNil() {
			n++
		}
	}
	return n
}

// isDroppable reports whether the protocol of a message sends it again, so that
// a full queue may drop it to make room for a message that is sent only once.
func isDroppable(m *state.Message) bool {
	return m.ConfigNotice != nil || m.PollRequest != nil || m.PollReply != nil || m.PeerStatus != nil
}
