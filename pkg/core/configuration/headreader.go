package configuration

import (
	"log/slog"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

// maxHeadReads is the maximum number of reads of the head in flight. It is more than
// one, because a store that takes longer than headReadPeriod to answer would
// otherwise leave gaps in the evidence.
const maxHeadReads = 4

// headReader is the state of reading the head and its document from the store.
type headReader struct {
	nextReadAt time.Duration
	// sentAt holds the send times of the head reads in flight, by store request ID.
	sentAt map[uint64]time.Duration
	// documentRequest is the ID of the document read in flight, 0 for none.
	documentRequest uint64
	// pendingHead is the head row whose document is being read, and pendingSentAt the
	// send time of the request that returned the row.
	pendingSentAt time.Duration
	pendingHead   state.StoreRow
	// revision is the row revision of the head at version revisionVersion.
	revision        uint64
	revisionVersion state.Version
	// headAbsent is set when the last successful read found no head and this node has
	// no copy.
	headAbsent bool
	// storeDown is set when the last read of the head failed.
	storeDown bool
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

// updateStoreAvailability records whether the store answers, and logs each transition.
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

// applyHeadRow applies a head row that was current in the table service at some time
// at or after sentAt. A later version with a new document is adopted once that
// document is read.
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

// findRow returns the row with the given key, or nil if it does not exist.
func findRow(rows []state.StoreRow, key string) *state.StoreRow {
	for i := range rows {
		if rows[i].Key == key && rows[i].Revision != 0 {
			return &rows[i]
		}
	}
	return nil
}

func versionAttr(v state.Version) slog.Attr { return slog.Uint64("version", uint64(v)) }
