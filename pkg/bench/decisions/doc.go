// Package decisions measures each decision of the core against its simplest
// baseline. The decision and its baseline run in virtual time with the same
// seed.
package decisions
