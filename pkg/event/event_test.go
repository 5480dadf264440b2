package event_test

import (
	"testing"

	"github.com/apricotgrade/apricotgrade/pkg/event"
)

// TestCatalogueIsOrdered guards against a number that is used twice: the numbers
// of the catalogue must strictly increase.
func TestCatalogueIsOrdered(t *testing.T) {
	for i := 1; i < len(event.Catalogue); i++ {
		if event.Catalogue[i].ID <= event.Catalogue[i-1].ID {
			t.Errorf("event %d follows %d", event.Catalogue[i].ID, event.Catalogue[i-1].ID)
		}
	}
}
