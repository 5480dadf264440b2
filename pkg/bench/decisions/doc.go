// Package decisions measures each decision of the core against its simplest
// baseline, with the same seed in one run of virtual time.
package decisions
