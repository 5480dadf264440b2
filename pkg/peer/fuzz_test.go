package peer

import (
	"reflect"
	"testing"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// FuzzFrame guards against a frame that decodes and then ends the process of its
// receiver, a managed node or one of a declared installation.
func FuzzFrame(f *testing.F) {
	messageType := reflect.TypeFor[state.Message]()
	for i := range messageType.NumField() {
		var m state.Message
		field := reflect.ValueOf(&m).Elem().Field(i)
		field.Set(reflect.New(field.Type().Elem()))
		addFrame(f, m)
	}
	broken := &state.Instance{ID: "i", Service: "pool", Membership: state.Membership{Group: "g", Rank: -4, Phase: state.MemberOpen}}
	for table := range state.TableKind(5) {
		for _, snapshot := range []bool{false, true} {
			addFrame(f, state.Message{TableUpdate: &state.TableUpdate{Table: table, Snapshot: snapshot, Confirmed: !snapshot, Revision: 1 << 60, Rows: []state.RowUpdate{
				{Key: "k"}, {Key: "i", Instance: broken}, {Key: "config", PlatformConfig: &state.PlatformConfig{Version: 9}}, {Key: "node/x", Node: &state.RegisteredNode{}},
				{Key: state.KeyFormationLease, Lease: &state.LeaseRow{}}, {Key: "r", Removed: true},
			}}})
		}
	}
	addFrame(f, state.Message{TableRequest: &state.TableRequest{Table: 200}})
	addFrame(f, state.Message{PeerStatus: &state.PeerStatus{TableRevisions: make([]uint64, 9), Loads: []state.TargetLoad{{Running: -9}}, ClusterTotals: true}})
	addFrame(f, state.Message{History: &state.History{Loaded: true, PlatformConfig: &state.PlatformConfig{}, Departures: []state.Departure{{}, {Host: "i", Gone: true}}}})
	var crashes []state.TraitCrash
	for i := range 300 {
		crashes = append(crashes, state.TraitCrash{Trait: state.Trait{Kind: state.TraitKind(i % 2), ID: uint64(i / 20)}, StartID: int64(i), Cleared: i%7 == 0})
	}
	addFrame(f, state.Message{TraitReport: &state.TraitReport{Crashes: crashes}})
	f.Fuzz(func(_ *testing.T, frame []byte) {
		m, err := decodeMessage(frame)
		if err != nil {
			return
		}
		self := state.Self{ID: "n1", DataCentre: "north", Address: "a"}
		for _, n := range []*core.Node{core.NewManaged(self, 1), core.New(self, state.Switches{}, 1)} {
			now := time.Second
			n.Step(now, state.PeerLinkChanged{Peer: "n2", Incarnation: 1, Up: true})
			for range 2 {
				n.Step(now, state.PeerMessage{From: "n2", Message: m})
				for range 5 {
					now += state.TickPeriod
					n.Step(now, state.Tick{})
				}
			}
		}
	})
}

func addFrame(f *testing.F, m state.Message) {
	frame, err := encodeMessage(m)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(frame)
}
