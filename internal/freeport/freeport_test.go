package freeport_test

import (
	"testing"

	"github.com/apricotgrade/apricotgrade/internal/freeport"
)

// TestAddressesDiffer guards against two processes of one test that are given the
// same address: the second fails with "address already in use".
func TestAddressesDiffer(t *testing.T) {
	seen := map[string]bool{}
	for range 2000 {
		address, err := freeport.Address()
		if err != nil {
			t.Fatal(err)
		}
		if seen[address] {
			t.Fatalf("%s was given twice", address)
		}
		seen[address] = true
	}
}
