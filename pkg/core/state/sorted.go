package state

import "slices"

// SortedKeys returns the keys of a map in ascending order. The systems of the core
// iterate over maps in this order, because the same inputs must lead to the same
// decisions.
func SortedKeys[K ~string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
