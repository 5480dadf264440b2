// Package latency measures the overhead of an entry node compared with a direct
// call to an engine over loopback: latency, processor time per token, memory
// per open stream and allocations per request.
package latency
