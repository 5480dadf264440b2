package peer

import (
	"reflect"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const (
	// protocolVersion changes with each incompatible change of a frame.
	protocolVersion = 1
	// maxFrameBytes bounds a frame in both directions. A configuration of 1,500
	// routes takes about 400 KB.
	maxFrameBytes = 2 << 20
	// maxFrameItems and maxFrameDepth bound what a frame may make the decoder
	// allocate, which its size alone does not.
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

// encodeMessage returns the frame of a message, or an error for one that is
// over the frame limit.
func encodeMessage(m state.Message) ([]byte, error) {
	frame, err := cbor.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "encode peer message")
	}
	if len(frame) > maxFrameBytes {
		return nil, errors.Errorf("peer message of %d bytes is over the limit of %d", len(frame), maxFrameBytes)
	}
	return frame, nil
}

// decodeMessage reads a frame. A frame that does not hold exactly one message
// is malformed.
func decodeMessage(frame []byte) (state.Message, error) {
	var m state.Message
	if err := decoder.Unmarshal(frame, &m); err != nil {
		return state.Message{}, errors.Wrap(err, "decode peer message")
	}
	if n := messageCount(&m); n != 1 {
		return state.Message{}, errors.Errorf("peer frame holds %d messages, not 1", n)
	}
	return m, nil
}

// messageCount looks at all fields of the type, so that a new kind of message
// cannot be left out.
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

// isDroppable reports whether a message is sent again by its protocol, so that a
// full queue may drop it in favour of one that is sent once.
func isDroppable(m *state.Message) bool {
	return m.ConfigNotice != nil || m.PollRequest != nil || m.PollReply != nil || m.PeerStatus != nil
}
