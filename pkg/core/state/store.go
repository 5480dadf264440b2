package state

import (
	"net/url"
	"strconv"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Table keys of the platform's table service.
const (
	KeyHead        = "config/head"
	PrefixDocument = "config/doc/"
	PrefixAudit    = "audit/"
	PrefixHost     = "host/"
	PrefixGroup    = "group/"
	PrefixLease    = "lease/"
	PrefixClaim    = "claim/"
)

// versionDigits is the width to which version numbers in keys are padded, so that
// a scan returns them in order.
const versionDigits = 12

// KeyDocument returns the key of the document of a version.
func KeyDocument(v Version) string { return PrefixDocument + padVersion(v) }

// KeyAudit returns the key of the audit record of a version.
func KeyAudit(v Version) string { return PrefixAudit + padVersion(v) }

// KeyHost returns the key of a host's assignment.
func KeyHost(id HostID) string { return PrefixHost + string(id) }

// KeyGroup returns the key of a replica group.
func KeyGroup(id GroupID) string { return PrefixGroup + string(id) }

// KeyLease returns the key of the placement lease of a data centre.
func KeyLease(dc DataCentre) string { return PrefixLease + string(dc) }

// KeyClaim returns the key of a claim. The account is escaped, so that no account
// name can form a key of another account.
func KeyClaim(account AccountID, key string) string {
	return PrefixClaim + url.PathEscape(string(account)) + "/" + key
}

// ServiceIdempotencyKey returns the idempotency key that is sent to a plain service
// for a request of an account. It includes the account, because two accounts may
// choose the same key and a service that distinguishes requests by key alone would
// mix them up.
func ServiceIdempotencyKey(account AccountID, key string) string { return string(account) + ":" + key }

func padVersion(v Version) string {
	s := strconv.FormatUint(uint64(v), 10)
	for len(s) < versionDigits {
		s = "0" + s
	}
	return s
}

// Encode returns the CBOR encoding of a row value. It panics on an error, which
// cannot occur for row values, because they are plain structs.
func Encode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(errors.Wrap(err, "encode row value"))
	}
	return b
}

// Decode decodes the CBOR encoding of a row value into v.
func Decode(b []byte, v any) error {
	return errors.Wrap(cbor.Unmarshal(b, v), "decode row value")
}

// NewOpID returns an operation ID that no other node or incarnation uses.
func (t *Tables) NewOpID() OpID {
	t.nextOpID++
	return OpID(string(t.Self.ID) + "." + strconv.FormatUint(uint64(t.Self.Incarnation), 36) +
		"." + strconv.FormatUint(t.nextOpID, 36))
}

// SendStoreRequest adds a store request of the named system to the outbox and
// returns the ID of the request.
func (t *Tables) SendStoreRequest(out *Outbox, system string, req StoreRequest) uint64 {
	t.nextStoreRequest++
	req.ID = t.nextStoreRequest
	t.storeRequestOwners[req.ID] = system
	out.Add(req)
	return req.ID
}

// OwnsReply reports whether a store reply answers a request of the named system.
func (t *Tables) OwnsReply(system string, reply StoreReply) bool {
	return t.storeRequestOwners[reply.ID] == system
}

// ForgetStoreRequest removes a store request after all systems have processed its
// reply.
func (t *Tables) ForgetStoreRequest(id uint64) { delete(t.storeRequestOwners, id) }
