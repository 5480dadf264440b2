// Package state holds what the decision core knows: tables of entities, the
// inputs that change them, the outputs that systems produce, and the messages
// between nodes. It holds no decisions.
package state
