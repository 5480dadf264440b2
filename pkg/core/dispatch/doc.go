// Package dispatch takes requests whose host name and path choose their route:
// it finds the route and the client account, places each request at a target,
// lets it wait or refuses it, and decides what follows the end of an attempt.
package dispatch
