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

// TestTraitReportSurvivesFrame guards against evidence that peers read differently
// from what was sent, as a trait with all 64 bits or a clear that arrives as a crash.
func TestTraitReportSurvivesFrame(t *testing.T) {
	sent := state.Message{TraitReport: &state.TraitReport{Crashes: []state.TraitCrash{
		{Trait: state.Trait{Kind: state.RequestTrait, ID: 1<<64 - 1}, Host: "i-1", StartID: 1_764_856_000_123}, {Trait: state.Trait{ID: 0xfa}, Host: "i-2", StartID: -1, Cleared: true}, {},
	}}}
	frame, err := encodeMessage(sent)
	if err != nil {
		t.Fatal(err)
	}
	received, err := decodeMessage(frame)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(sent, received) {
		t.Errorf("sent %+v, received %+v", sent.TraitReport, received.TraitReport)
	}
}
