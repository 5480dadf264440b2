package state

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// TraitKind is the kind of a Trait.
type TraitKind uint8

// Kinds of traits.
const (
	// PromptPartTrait is a part of the prompt that requests share.
	PromptPartTrait TraitKind = iota
	// RequestTrait is the whole request, which its repetitions share.
	RequestTrait
	TraitKinds
)

// Trait is what requests have in common by which they may end the targets that run them.
type Trait struct {
	Kind TraitKind `cbor:"1,keyasint,omitempty"`
	ID   uint64    `cbor:"2,keyasint"`
}

// String returns the ID in hexadecimal.
func (t Trait) String() string { return strconv.FormatUint(t.ID, 16) }

// traitKindNames holds the names of the kinds that operators use.
var traitKindNames = map[TraitKind]string{PromptPartTrait: "part", RequestTrait: "request"}

// Name returns the name that operators use: the kind and the ID, as in part/fa.
func (t Trait) Name() string { return traitKindNames[t.Kind] + "/" + t.String() }

// ParseTrait parses the name of a trait. It returns false if it is none.
func ParseTrait(name string) (Trait, bool) {
	kindName, text, _ := strings.Cut(name, "/")
	id, err := strconv.ParseUint(text, 16, 64)
	for kind, known := range traitKindNames {
		if known == kindName && err == nil {
			return Trait{kind, id}, true
		}
	}
	return Trait{}, false
}

// CompareTraits orders traits by kind and ID.
func CompareTraits(a, b Trait) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.ID, b.ID))
}

// Traits returns the traits of a request of a client account, of which prompt parts count
// only at an engine.
func (r *RoutedRequest) Traits(account AccountID, atEngine bool) []Trait {
	if r.Fingerprint == 0 && (!atEngine || len(r.PromptParts) == 0) {
		return nil
	}
	traits := make([]Trait, 0, len(r.PromptParts)+1)
	if atEngine {
		for _, part := range r.PromptParts {
			traits = append(traits, Trait{PromptPartTrait, uint64(part)})
		}
	}
	if r.Fingerprint != 0 {
		traits = append(traits, Trait{RequestTrait, r.Fingerprint.of(account)})
	}
	return traits
}

// TraitCrash is the evidence that a process ended while it answered a request with
// a trait. Nodes exchange this evidence. All that saw the end of the process report the
// same crash. Cleared is set for good once the trait or the process has turned out to be
// sound, so that neither the order nor the repetition of reports matters.
type TraitCrash struct {
	Trait   Trait  `cbor:"1,keyasint"`
	Host    HostID `cbor:"2,keyasint"`
	StartID int64  `cbor:"3,keyasint,omitempty"`
	Cleared bool   `cbor:"4,keyasint,omitempty"`
	// Age is the time from the first event of the answer to its loss, 0 if it had none.
	Age time.Duration `cbor:"5,keyasint,omitempty"`
	// Tried is set if the request was a trial of the trait.
	Tried bool `cbor:"6,keyasint,omitempty"`
	// Ran is the time from the sending of the request to the loss.
	Ran time.Duration `cbor:"7,keyasint,omitempty"`
}

// QuarantineRow is a row of NodeTable that keeps the evidence on a trait in quarantine, so
// that it outlives the memory of all nodes.
type QuarantineRow struct {
	Trait   Trait        `cbor:"1,keyasint"`
	Crashes []TraitCrash `cbor:"2,keyasint"`
	// Revision is the revision of the row.
	Revision uint64 `cbor:"-"`
}

// QuarantineKey returns the key of the row of a trait.
func QuarantineKey(t Trait) string {
	return PrefixQuarantine + strconv.Itoa(int(t.Kind)) + "-" + t.String()
}

// TraitReport spreads crashes to all nodes.
type TraitReport struct {
	Crashes []TraitCrash `cbor:"1,keyasint"`
	// AreOld is set if the crashes are not reported as they happen.
	AreOld bool `cbor:"2,keyasint,omitempty"`
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
