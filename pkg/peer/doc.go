// Package peer keeps WebSocket links between the entry daemons of one
// installation. Frames are CBOR. Both ends prove that they hold the shared key
// before a message passes.
package peer
