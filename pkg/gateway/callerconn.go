package gateway

import (
	"context"
	"net"
	"net/http"
)

// callerConnKey is the context key of a caller's connection.
type callerConnKey struct{}

// withCallerConn is the ConnContext of the server for callers.
func withCallerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, c)
}

// callerConnOf returns the connection on which a request arrived, or nil if the server is not
// one for callers.
func callerConnOf(r *http.Request) net.Conn {
	c, _ := r.Context().Value(callerConnKey{}).(net.Conn)
	return c
}

// hasCallerLeft reports whether the caller has closed its connection. It asks the kernel: the
// HTTP server only learns of a close from a read in the background, which in a process that
// was paused or is short of processor time comes after the request was sent to a target.
//
// A connection that the node itself has chosen to close, just before the header of the request
// was complete, counts as well.
func (e *exchange) hasCallerLeft() bool {
	if c, ok := e.callerConn.(interface{ Evicted() bool }); ok && c.Evicted() {
		e.callerDisconnected.Store(true)
	}
	if !e.callerDisconnected.Load() && e.callerConn != nil && isClosedByPeer(e.callerConn) {
		e.callerDisconnected.Store(true)
	}
	return e.callerDisconnected.Load()
}
