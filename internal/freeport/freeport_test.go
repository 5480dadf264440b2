package freeport_test

import (
	"testing"

	"github.com/apricotgrade/apricotgrade/internal/freeport"
)

// TestAddressesDiffer guards against returning the same address for two processes
// of one test: the second process fails with "address already in use".
func TestAddressesDiffer(t *testing.T) {
	seen := map[string]bool{}
	for range 2000 {
		address, err := freeport.Address()
		if err != nil {
			t.Fatal(err)
		}
		if seen[address] {
			t.Fatalf("%s was returned twice", address)
		}
		seen[address] = true
	}
}
