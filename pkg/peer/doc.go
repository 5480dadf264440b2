// Package peer maintains WebSocket links between the entry daemons of one
// installation. Frames are encoded as CBOR. Both ends authenticate with the
// shared key before they exchange messages.
package peer
