package gateway

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const (
	// tokenFor is how long a resume token is valid. Engines keep finished
	// generations for less.
	tokenFor = 15 * time.Minute
	// tokenLabel keeps the use of the peer key for tokens apart from others.
	tokenLabel = "apricotgrade resume token 1\x00"
	maxToken   = 2 << 10
)

// resumeToken is what another node needs to resume a generation.
type resumeToken struct {
	Request    state.RequestID `cbor:"1,keyasint"`
	Account    state.AccountID `cbor:"2,keyasint"`
	Target     state.TargetID  `cbor:"3,keyasint"`
	Generation string          `cbor:"4,keyasint"`
	// Expiry is in Unix seconds. Clocks of nodes that differ by minutes only
	// change when a token ends.
	Expiry int64 `cbor:"5,keyasint"`
	Stream bool  `cbor:"6,keyasint"`
}

func (g *Gateway) token(e *exchange, target state.TargetID) string {
	t := resumeToken{
		Request: e.call.arrival.ID, Account: e.call.arrival.Account, Target: target,
		Generation: e.generation, Expiry: time.Now().Add(tokenFor).Unix(), Stream: e.call.arrival.Stream,
	}
	if e.call.origin != "" {
		t.Request = e.call.origin
	}
	payload, err := cbor.Marshal(t)
	if err != nil {
		return ""
	}
	enc := base64.RawURLEncoding
	return enc.EncodeToString(payload) + "." + enc.EncodeToString(g.sign(payload))
}

func (g *Gateway) sign(payload []byte) []byte {
	mac := hmac.New(sha256.New, g.tokenKey)
	mac.Write([]byte(tokenLabel))
	mac.Write(payload)
	return mac.Sum(nil)
}

// checkToken returns the content of a token that is valid for this account and
// request.
func (g *Gateway) checkToken(s string, account state.AccountID, id state.RequestID) (resumeToken, *apierror.Error) {
	refusal := apierror.New(apierror.KindInvalid, "invalid_resume_token",
		"send the X-Resume-Token that came with the answer, within 15 minutes", apierror.NotRun)
	refusal.Param = "X-Resume-Token"
	var t resumeToken
	first, second, ok := strings.Cut(s, ".")
	if !ok || len(s) > maxToken {
		return t, refusal
	}
	payload, err1 := base64.RawURLEncoding.DecodeString(first)
	mac, err2 := base64.RawURLEncoding.DecodeString(second)
	if err1 != nil || err2 != nil || !hmac.Equal(mac, g.sign(payload)) || cbor.Unmarshal(payload, &t) != nil {
		return resumeToken{}, refusal
	}
	if t.Account != account || t.Request != id || time.Now().Unix() > t.Expiry {
		return resumeToken{}, refusal
	}
	return t, nil
}
