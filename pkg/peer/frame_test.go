package peer

import (
	"reflect"
	"testing"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// TestEveryMessageKindDecodes guards against a kind of message that the receiver
// rejects as a malformed frame, which closes the link.
func TestEveryMessageKindDecodes(t *testing.T) {
	messageType := reflect.TypeFor[state.Message]()
	for i := range messageType.NumField() {
		var m state.Message
		field := reflect.ValueOf(&m).Elem().Field(i)
		field.Set(reflect.New(field.Type().Elem()))
		frame, err := encodeMessage(m)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := decodeMessage(frame); err != nil {
			t.Errorf("%s: %v", messageType.Field(i).Name, err)
		}
	}
	if _, err := decodeMessage([]byte{0xa0}); err == nil {
		t.Error("a frame without a message is accepted")
	}
}
