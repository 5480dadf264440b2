package standin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/pkg/errors"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/store"
)

// DemoDocument returns the declarations of the development mode: replica groups
// of two members each, spread over two data centres, and an order service.
func DemoDocument(groups int, serviceAddress string) state.Document {
	sum := sha256.Sum256([]byte("dev"))
	doc := state.Document{
		Accounts:    []state.AccountSpec{{Name: "dev", KeyHash: hex.EncodeToString(sum[:]), Weight: 1}},
		DataCentres: []state.DataCentreSpec{{Name: "north"}, {Name: "coast"}},
		Models:      []state.ModelSpec{{Name: "draft", Versions: []string{"1"}, WeightBytes: 1 << 20}},
		Services: []state.ServiceSpec{{
			Name: "orders", Replicas: []state.ServiceReplica{{Name: "a", Address: serviceAddress, DataCentre: "north"}},
			AtMostOnceRoutes: []state.ServiceRoute{{Method: "POST", Path: "/orders"}}, LookupPath: "/orders/{key}",
			ColdLimit: 16, WarmLimit: 64,
		}},
		Presets: []state.PresetSpec{{Name: "ordinary"}, {Name: "peak"}, {Name: "maintenance"}},
	}
	for i := range groups {
		doc.Groups = append(doc.Groups, state.GroupSpec{
			Name: state.GroupID(fmt.Sprintf("g%d", i+1)), Model: "draft", Version: "1", Members: 2,
			DataCentre: doc.DataCentres[i%2].Name, ColdLimit: 4, WarmLimit: 64,
		})
	}
	return doc
}

// Seed writes the first configuration with the preset "ordinary", unless there
// is a configuration already.
func Seed(ctx context.Context, tables store.Tables, doc state.Document) error {
	return SeedPreset(ctx, tables, doc, "ordinary")
}

// SeedPreset writes the first configuration with a preset in force. It changes
// nothing when there is a configuration already.
func SeedPreset(ctx context.Context, tables store.Tables, doc state.Document, preset string) error {
	head := state.Head{Version: 1, Op: "seed", Preset: preset, DocumentVersion: 1}
	_, err := tables.Transact(ctx, state.Transaction{
		Conditions: []state.Condition{{Key: state.KeyHead}},
		Writes: []state.Write{
			{Key: state.KeyHead, Value: state.Encode(head)},
			{Key: state.KeyDocument(1), Value: state.Encode(doc)},
		},
	})
	return errors.Wrap(err, "write the first configuration")
}
