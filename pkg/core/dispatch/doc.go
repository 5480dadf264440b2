// Package dispatch handles requests that are routed by host name and path. It
// finds the route and the client account, sends each request to a target,
// queues or refuses it, and decides what follows the end of an attempt.
package dispatch
