package configuration

import (
	"log/slog"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

// maxHeadReads bounds the reads of the head that wait for an answer. Several are
// allowed, because a store that takes longer than a read period would
// otherwise leave gaps in the evidence.
const maxHeadReads = 4

// headReader is the reading of the head and its document.
type headReader struct {
	nextReadAt time.Duration
	// sentAt holds the send times of the head reads without an answer.
	sentAt map[uint64]time.Duration
	// documentRequest is the read of a document, for the head that needs it.
	documentRequest uint64
	pendingSentAt   time.Duration
	pendingHead     state.StoreRow
	// revision is the row revision of the head at version revisionOf.
	revision        uint64
	revisionVersion state.Version
	// headAbsent is set when the table service had no head.
	headAbsent bool
	storeDown  bool
}

func (r *headReader) init() { r.sentAt = map[uint64]time.Duration{} }

func (r *headReader) ownsRequest(id uint64) bool {
	_, ok := r.sentAt[id]
	return ok || id == r.documentRequest
}

func (s *System) readHead(now time.Duration, out *state.Outbox) {
	reader := &s.headReader
	if now < reader.nextReadAt || len(reader.sentAt) >= maxHeadReads {
		return
	}
	reader.nextReadAt = now + headReadPeriod
	id := s.tables.SendStoreRequest(out, systemName, state.StoreRequest{Read: []string{state.KeyHead}})
	reader.sentAt[id] = now
}

func (s *System) handleHeadReply(now time.Duration, reply state.StoreReply, out *state.Outbox) {
	reader := &s.headReader
	if reply.ID == reader.documentRequest {
		s.handleDocumentReply(now, reply, out)
		return
	}
	sentAt := reader.sentAt[reply.ID]
	delete(reader.sentAt, reply.ID)
	s.updateStoreAvailability(reply.Result == state.StoreOK, out)
	if reply.Result != state.StoreOK {
		return
	}
	row := findRow(reply.Rows, state.KeyHead)
	reader.headAbsent = row == nil && !s.tables.Config.Loaded
	if row != nil {
		s.applyHeadRow(now, *row, sentAt, out)
	}
}

func (s *System) updateStoreAvailability(available bool, out *state.Outbox) {
	if s.headReader.storeDown != available {
		return
	}
	s.headReader.storeDown = !available
	if available {
		out.Log(event.StoreUp)
		return
	}
	out.Log(event.StoreDown)
}

// applyHeadRow takes the head as the table service had it at or after sentAt.
func (s *System) applyHeadRow(now time.Duration, row state.StoreRow, sentAt time.Duration, out *state.Outbox) {
	var head state.Head
	if state.Decode(row.Value, &head) != nil {
		return
	}
	reader, config := &s.headReader, &s.tables.Config
	if head.Version > reader.revisionVersion || head.Version == reader.revisionVersion && row.Revision > reader.revision {
		reader.revision, reader.revisionVersion = row.Revision, head.Version
	}
	switch {
	case config.Loaded && head.Version <= config.Head.Version:
		config.Synced = true
		s.recordEvidence(sentAt)
	case head.DocumentVersion == config.Head.DocumentVersion && config.Loaded:
		s.adoptVersion(now, head, nil, out)
		config.Synced = true
		s.recordEvidence(sentAt)
	case reader.documentRequest == 0:
		reader.pendingHead, reader.pendingSentAt = row, sentAt
		key := state.KeyDocument(head.DocumentVersion)
		reader.documentRequest = s.tables.SendStoreRequest(out, systemName, state.StoreRequest{Read: []string{key}})
	}
}

func (s *System) handleDocumentReply(now time.Duration, reply state.StoreReply, out *state.Outbox) {
	reader := &s.headReader
	reader.documentRequest = 0
	var head state.Head
	if reply.Result != state.StoreOK || state.Decode(reader.pendingHead.Value, &head) != nil {
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
	s.adoptVersion(now, head, &doc, out)
	if s.tables.Config.Head.Version >= head.Version {
		s.tables.Config.Synced = true
		s.recordEvidence(reader.pendingSentAt)
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
