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
	// resumeTokenLifetime is how long a resume token is valid. Engines keep finished
	// generations for a shorter time.
	resumeTokenLifetime = 15 * time.Minute
	// resumeTokenLabel separates signatures of resume tokens from other uses of the
	// same key.
	resumeTokenLabel    = "apricotgrade resume token 1\x00"
	maxResumeTokenBytes = 2 << 10
)

// resumeToken is the data with which any node can resume a generation.
type resumeToken struct {
	Request    state.RequestID `cbor:"1,keyasint"`
	Account    state.AccountID `cbor:"2,keyasint"`
	Target     state.TargetID  `cbor:"3,keyasint"`
	Generation string          `cbor:"4,keyasint"`
	// Expiry is in Unix seconds. Clocks of nodes that differ by minutes only shift
	// the time at which a token expires.
	Expiry int64 `cbor:"5,keyasint"`
	Stream bool  `cbor:"6,keyasint"`
}

// newResumeToken returns the signed resume token of a generation at a target.
func (g *Gateway) newResumeToken(e *exchange, target state.TargetID) string {
	token := resumeToken{
		Request: e.request.arrival.ID, Account: e.request.arrival.Account, Target: target,
		Generation: e.generation, Expiry: time.Now().Add(resumeTokenLifetime).Unix(), Stream: e.request.arrival.Stream,
	}
	if e.request.resumedRequest != "" {
		token.Request = e.request.resumedRequest
	}
	payload, err := cbor.Marshal(token)
	if err != nil {
		return ""
	}
	enc := base64.RawURLEncoding
	return enc.EncodeToString(payload) + "." + enc.EncodeToString(g.signResumeToken(payload))
}

func (g *Gateway) signResumeToken(payload []byte) []byte {
	mac := hmac.New(sha256.New, g.tokenKey)
	mac.Write([]byte(resumeTokenLabel))
	mac.Write(payload)
	return mac.Sum(nil)
}

// checkResumeToken verifies a resume token and returns its content. The token must be
// signed, unexpired and issued for this account and request.
func (g *Gateway) checkResumeToken(text string, account state.AccountID, id state.RequestID) (resumeToken, *apierror.Error) {
	refusal := apierror.New(apierror.KindInvalid, "invalid_resume_token",
		"the resume token is not valid; send the X-Resume-Token of the answer within 15 minutes", apierror.NotRun)
	refusal.Param = "X-Resume-Token"
	var token resumeToken
	payloadText, macText, ok := strings.Cut(text, ".")
	if !ok || len(text) > maxResumeTokenBytes {
		return token, refusal
	}
	payload, payloadErr := base64.RawURLEncoding.DecodeString(payloadText)
	mac, macErr := base64.RawURLEncoding.DecodeString(macText)
	if payloadErr != nil || macErr != nil || !hmac.Equal(mac, g.signResumeToken(payload)) || cbor.Unmarshal(payload, &token) != nil {
		return resumeToken{}, refusal
	}
	if token.Account != account || token.Request != id || time.Now().Unix() > token.Expiry {
		return resumeToken{}, refusal
	}
	return token, nil
}
