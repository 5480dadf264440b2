// Package latency measures what an entry node adds to a direct call of an
// engine over loopback: time, processor time per token, memory per open stream
// and allocations per request.
package latency
