package configuration

import (
	"log/slog"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

// maxReads bounds the reads of the head that wait for an answer. Several are
// allowed, because a store that takes longer than a read period would
// otherwise leave gaps in the evidence.
const maxReads = 4

// headReads is the reading of the head and its document.
type headReads struct {
	next time.Duration
	// sent holds the send times of the head reads without an answer.
	sent map[uint64]time.Duration
	// document is the read of a document, for the head that needs it.
	document   uint64
	documentAt time.Duration
	pending    state.StoreRow
	// revision is the row revision of the head at version revisionOf.
	revision   uint64
	revisionOf state.Version
	// absent is set when the table service had no head.
	absent bool
	down   bool
}

func (h *headReads) init() { h.sent = map[uint64]time.Duration{} }

func (h *headReads) owns(id uint64) bool {
	_, ok := h.sent[id]
	return ok || id == h.document
}

func (s *System) readHead(now time.Duration, out *state.Outbox) {
	h := &s.head
	if now < h.next || len(h.sent) >= maxReads {
		return
	}
	h.next = now + readPeriod
	id := s.t.SendStoreRequest(out, name, state.StoreRequest{Read: []string{state.KeyHead}})
	h.sent[id] = now
}

func (s *System) headReplied(now time.Duration, reply state.StoreReply, out *state.Outbox) {
	h := &s.head
	if reply.ID == h.document {
		s.documentReplied(now, reply, out)
		return
	}
	sentAt := h.sent[reply.ID]
	delete(h.sent, reply.ID)
	s.storeUp(reply.Result == state.StoreOK, out)
	if reply.Result != state.StoreOK {
		return
	}
	row := findRow(reply.Rows, state.KeyHead)
	h.absent = row == nil && !s.t.Config.Loaded
	if row != nil {
		s.headRow(now, *row, sentAt, out)
	}
}

func (s *System) storeUp(up bool, out *state.Outbox) {
	if s.head.down != up {
		return
	}
	s.head.down = !up
	if up {
		out.Log(event.StoreUp)
		return
	}
	out.Log(event.StoreDown)
}

// headRow takes the head as the table service had it at or after sentAt.
func (s *System) headRow(now time.Duration, row state.StoreRow, sentAt time.Duration, out *state.Outbox) {
	var head state.Head
	if state.Decode(row.Value, &head) != nil {
		return
	}
	h, c := &s.head, &s.t.Config
	if head.Version > h.revisionOf || head.Version == h.revisionOf && row.Revision > h.revision {
		h.revision, h.revisionOf = row.Revision, head.Version
	}
	switch {
	case c.Loaded && head.Version <= c.Head.Version:
		c.Synced = true
		s.evidence(sentAt)
	case head.DocumentVersion == c.Head.DocumentVersion && c.Loaded:
		s.adopt(now, head, nil, out)
		c.Synced = true
		s.evidence(sentAt)
	case h.document == 0:
		h.pending, h.documentAt = row, sentAt
		key := state.KeyDocument(head.DocumentVersion)
		h.document = s.t.SendStoreRequest(out, name, state.StoreRequest{Read: []string{key}})
	}
}

func (s *System) documentReplied(now time.Duration, reply state.StoreReply, out *state.Outbox) {
	h := &s.head
	h.document = 0
	var head state.Head
	if reply.Result != state.StoreOK || state.Decode(h.pending.Value, &head) != nil {
		return
	}
	row := findRow(reply.Rows, state.KeyDocument(head.DocumentVersion))
	if row == nil {
		return
	}
	var doc state.Document
	if state.Decode(row.Value, &doc) != nil {
		return
	}
	s.adopt(now, head, &doc, out)
	if s.t.Config.Head.Version >= head.Version {
		s.t.Config.Synced = true
		s.evidence(h.documentAt)
	}
}

func findRow(rows []state.StoreRow, key string) *state.StoreRow {
	for i := range rows {
		if rows[i].Key == key && rows[i].Revision != 0 {
			return &rows[i]
		}
	}
	return nil
}

func versionAttr(v state.Version) slog.Attr { return slog.Uint64("version", uint64(v)) }
