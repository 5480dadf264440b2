// Package rendezvous ranks nodes for a key by rendezvous hashing: each node has
// a score for the key, and the node with the highest score comes first. When a
// node is removed, only the keys that ranked it first get another first node.
package rendezvous

import (
	"github.com/cespare/xxhash/v2"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// Score returns the score of a node for a key. It is the same on all nodes.
func Score(key string, node state.NodeID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(node))
	return d.Sum64()
}

// Before reports whether node a with scoreA ranks before node b with scoreB.
// Equal scores are ordered by id.
func Before(scoreA uint64, a state.NodeID, scoreB uint64, b state.NodeID) bool {
	return scoreA > scoreB || scoreA == scoreB && a < b
}

// Position returns how many of the given nodes rank before a node for a key.
func Position(key string, nodes []state.NodeID, node state.NodeID) int {
	position, score := 0, Score(key, node)
	for _, other := range nodes {
		if other != node && Before(Score(key, other), other, score, node) {
			position++
		}
	}
	return position
}

// Ranking yields nodes in rendezvous order. It selects each node on demand
// instead of sorting, because most callers need only the first few.
type Ranking struct {
	nodes  []state.NodeID
	scores []uint64
}

// Rank returns the ranking of nodes for a key. It does not modify nodes.
func Rank(key string, nodes []state.NodeID) *Ranking {
	r := &Ranking{nodes: append([]state.NodeID(nil), nodes...), scores: make([]uint64, len(nodes))}
	for i, id := range nodes {
		r.scores[i] = Score(key, id)
	}
	return r
}

// Next removes and returns the next node. The second result is false when none
// is left.
func (r *Ranking) Next() (state.NodeID, bool) {
	if len(r.nodes) == 0 {
		return "", false
	}
	first := 0
	for i := range r.nodes {
		if Before(r.scores[i], r.nodes[i], r.scores[first], r.nodes[first]) {
			first = i
		}
	}
	id, last := r.nodes[first], len(r.nodes)-1
	r.nodes[first], r.scores[first] = r.nodes[last], r.scores[last]
	r.nodes, r.scores = r.nodes[:last], r.scores[:last]
	return id, true
}

// First removes and returns the first n nodes, or fewer if fewer are left.
func (r *Ranking) First(n int) []state.NodeID {
	var nodes []state.NodeID
	for len(nodes) < n {
		id, ok := r.Next()
		if !ok {
			break
		}
		nodes = append(nodes, id)
	}
	return nodes
}
