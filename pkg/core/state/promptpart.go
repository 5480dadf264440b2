package state

import "slices"

// PromptPartCrash is the evidence that a process ended when it began to answer a
// request with a part in its prompt. Nodes exchange this evidence. All that saw the end
// of the process report the same crash. Cleared is set for good once the part or the
// process has turned out to be sound, so that neither the order nor the repetition of
// reports matters.
type PromptPartCrash struct {
	Part    PromptPartID `cbor:"1,keyasint"`
	Host    HostID       `cbor:"2,keyasint"`
	StartID int64        `cbor:"3,keyasint,omitempty"`
	Cleared bool         `cbor:"4,keyasint,omitempty"`
}

// PromptPartReport spreads crashes to all nodes.
type PromptPartReport struct {
	Crashes []PromptPartCrash `cbor:"1,keyasint"`
}

// RelayTargets returns the linked peers to which a node sends a message that all nodes
// must receive, in ascending order. from is the peer from which the message came, or
// empty if it is the node's own. Only hubs pass on what they receive.
func (m *ManagedState) RelayTargets(self, from NodeID) []NodeID {
	if from != "" && !m.Hubs[self] {
		return nil
	}
	return slices.DeleteFunc(SortedKeys(m.LinkedPeers), func(id NodeID) bool {
		// A message from a hub has been sent to all hubs.
		return id == from || from != "" && m.Hubs[id] && m.Hubs[from]
	})
}
