// Package configuration keeps this node's copy of the configuration, its
// freshness, and the commit of changes.
package configuration

import (
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

const (
	name = "configuration"
	// FreshFor is how long evidence that no newer version was accepted lasts.
	FreshFor = 2 * time.Second
	// readPeriod is the period of reads of the head.
	readPeriod = 500 * time.Millisecond
)

// System reads Peers; it writes Config and the specification columns of
// Accounts.
type System struct {
	t        *state.Tables
	nextRead time.Duration
	reading  uint64
	sentAt   time.Duration
	pending  state.Head
}

// New returns the configuration system.
func New(t *state.Tables) *System { return &System{t: t} }

// Step implements state.System.
func (s *System) Step(now time.Duration, in state.Input, out *state.Outbox) {
	switch in := in.(type) {
	case state.Tick:
		s.readHead(now, out)
	case state.StoreReply:
		if s.t.OwnsReply(name, in) && in.ID == s.reading {
			s.headRead(in, out)
		}
	}
	s.updateFresh(now, out)
}

func (s *System) readHead(now time.Duration, out *state.Outbox) {
	if s.reading != 0 || now < s.nextRead {
		return
	}
	s.nextRead = now + readPeriod
	s.sentAt = now
	s.reading = s.t.Store(out, name, state.StoreRequest{Read: []string{state.KeyHead}})
}

func (s *System) headRead(reply state.StoreReply, out *state.Outbox) {
	s.reading = 0
	if reply.Result != state.StoreOK || len(reply.Rows) == 0 {
		return
	}
	if reply.Rows[0].Key != state.KeyHead {
		s.documentRead(reply, out)
		return
	}
	var head state.Head
	if state.Decode(reply.Rows[0].Value, &head) != nil {
		return
	}
	if s.t.Config.Known && head.Version <= s.t.Config.Head.Version {
		s.t.Config.EvidenceAt = s.sentAt
		return
	}
	s.pending = head
	s.reading = s.t.Store(out, name, state.StoreRequest{Read: []string{state.KeyDocument(head.DocumentVersion)}})
}

func (s *System) documentRead(reply state.StoreReply, out *state.Outbox) {
	var doc state.Document
	if state.Decode(reply.Rows[0].Value, &doc) != nil {
		return
	}
	c := &s.t.Config
	c.PreviousNodes = c.Head.Nodes
	c.Head, c.Document, c.Known, c.EvidenceAt = s.pending, doc, true, s.sentAt
	out.Log(event.ConfigLoaded)
	for _, a := range doc.Accounts {
		row := s.t.Accounts.Get(a.Name)
		if row == nil {
			row = &state.Account{ID: a.Name}
		}
		row.KeyHash, row.Weight, row.Concurrency = a.KeyHash, a.Weight, a.Concurrency
		s.t.Accounts.Put(a.Name, row)
	}
}

func (s *System) updateFresh(now time.Duration, out *state.Outbox) {
	c := &s.t.Config
	fresh := c.Known && c.EvidenceAt >= 0 && now-c.EvidenceAt < FreshFor
	if fresh == c.Fresh {
		return
	}
	c.Fresh = fresh
	if fresh {
		out.Log(event.ConfigFresh)
		return
	}
	out.Log(event.ConfigStale)
}
