// Package gentoken encodes the identity of a generation into a signed token, which
// is part of the event ids sent to callers. With it, any daemon can resume the
// generation, and only for the team that started it.
package gentoken

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"strconv"
	"strings"

	"github.com/zeebo/errs"
)

// macBytes is the length of the HMAC-SHA256, truncated to 128 bits.
const macBytes = 16

// ErrInvalid is returned for a malformed token or event id, and for a token that
// was not issued to the team.
var ErrInvalid = errs.New("generation token is not valid for this team")

// Generation identifies a generation and the backend server process that runs it.
type Generation struct {
	Service     string
	Backend     string
	Incarnation string
	ID          string
	// Class is the request class with which the generation was started.
	Class string
}

// Codec signs and verifies tokens with a key that all daemons share.
type Codec struct{ key []byte }

// NewCodec returns a Codec with a copy of the key, which should have at least 32
// random bytes.
func NewCodec(key []byte) *Codec { return &Codec{key: append([]byte(nil), key...)} }

// Encode returns the token that authorizes team to resume g.
func (c *Codec) Encode(team string, g Generation) string {
	payload := strings.Join([]string{g.Service, g.Backend, g.Incarnation, g.ID, g.Class}, "\n")
	raw := append(c.mac(team, payload), payload...)
	return base64.RawURLEncoding.EncodeToString(raw)
}

// Decode verifies a token and returns its generation. It returns ErrInvalid unless
// the token was encoded for the same team with the same key.
func (c *Codec) Decode(team, token string) (Generation, error) {
	raw, err := base64.RawURLEncoding.DecodeString(token)
	if err != nil || len(raw) <= macBytes {
		return Generation{}, ErrInvalid
	}
	payload := string(raw[macBytes:])
	if !hmac.Equal(raw[:macBytes], c.mac(team, payload)) {
		return Generation{}, ErrInvalid
	}
	fields := strings.Split(payload, "\n")
	if len(fields) != 5 {
		return Generation{}, ErrInvalid
	}
	return Generation{Service: fields[0], Backend: fields[1], Incarnation: fields[2], ID: fields[3], Class: fields[4]}, nil
}

func (c *Codec) mac(team, payload string) []byte {
	h := hmac.New(sha256.New, c.key)
	h.Write([]byte(strconv.Itoa(len(team)) + ":" + team + payload))
	return h.Sum(nil)[:macBytes]
}

// SplitEventID splits an event id of the form "<token>:<offset>" without verifying
// the token. The offset is the number of tokens that the caller has received.
func SplitEventID(id string) (token string, offset int, err error) {
	at := strings.LastIndexByte(id, ':')
	if at <= 0 {
		return "", 0, ErrInvalid
	}
	offset, err = strconv.Atoi(id[at+1:])
	if err != nil || offset < 0 {
		return "", 0, ErrInvalid
	}
	return id[:at], offset, nil
}
