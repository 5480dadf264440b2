// Package state defines the state of the decision core: tables of entities, the
// inputs that change them, the outputs that systems produce, and the messages
// between nodes. It makes no decisions.
package state
