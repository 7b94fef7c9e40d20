package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// Head is the stored object that determines the order of all changes.
type Head struct {
	Revision Revision `json:"revision"`
	// Checkpoint is the revision of the newest checkpoint; 0 means that there
	// is none.
	Checkpoint Revision `json:"checkpoint"`
	// Tail holds the newest changes, oldest first; the last one has revision
	// Revision.
	Tail []Change `json:"tail"`
}

// FirstTailRevision returns the revision of the oldest change in the tail, or
// Revision+1 if the tail is empty.
func (h *Head) FirstTailRevision() Revision { return h.Revision - Revision(len(h.Tail)) + 1 }

// AcceptedChange identifies an accepted change.
type AcceptedChange struct {
	ID       string   `json:"id"`
	Revision Revision `json:"revision"`
	// OpsHash is the result of Change.OpsHash. It distinguishes a repeated
	// change from a different one with the same id.
	OpsHash string `json:"ops_hash"`
}

// OpsHash returns the first half of the hex SHA-256 of the encoded operations;
// white space in values is ignored.
func (c *Change) OpsHash() string {
	raw, err := json.Marshal(c.Ops)
	if err != nil {
		return ""
	}
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:len(sum)/2])
}

// Checkpoint is the complete document at one revision.
type Checkpoint struct {
	Document *Document `json:"document"`
	// Accepted lists the ids of the newest changes up to the document's
	// revision, oldest first, so that a repeated change is recognized after it
	// was removed from the head's tail.
	Accepted []AcceptedChange `json:"accepted"`
}

// Entry is a change with the revision at which it was accepted.
type Entry struct {
	Revision Revision `json:"revision"`
	Change   Change   `json:"change"`
}

// decodeStrict decodes exactly one JSON value; unknown fields and trailing data
// are errors.
func decodeStrict(raw []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return fmt.Errorf("decode: %w", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("decode: data after the JSON value")
	}
	return nil
}

// Encode returns the JSON encoding of a Head, Checkpoint, Entry, Change or
// Document.
func Encode[T Head | Checkpoint | Entry | Change | Document](v *T) ([]byte, error) {
	return json.Marshal(v)
}

// DecodeChange decodes a change without validating its content; Apply does
// that.
func DecodeChange(raw []byte) (Change, error) {
	var c Change
	err := decodeStrict(raw, &c)
	return c, err
}

// DecodeEntry decodes an entry of the change log; revision 0 is an error.
func DecodeEntry(raw []byte) (Entry, error) {
	var e Entry
	if err := decodeStrict(raw, &e); err != nil {
		return e, err
	}
	if e.Revision == 0 {
		return e, errors.New("decode: entry has no revision")
	}
	return e, nil
}

// DecodeHead decodes a head and checks that its checkpoint and its tail
// together cover every revision.
func DecodeHead(raw []byte) (*Head, error) {
	h := &Head{}
	if err := decodeStrict(raw, h); err != nil {
		return nil, err
	}
	if Revision(len(h.Tail)) > h.Revision {
		return nil, fmt.Errorf("head: %d changes in the tail at revision %d", len(h.Tail), h.Revision)
	}
	if h.Checkpoint > h.Revision || h.Checkpoint < h.Revision-Revision(len(h.Tail)) {
		return nil, fmt.Errorf("head: checkpoint %d is inconsistent with the tail from %d to %d", h.Checkpoint, h.FirstTailRevision(), h.Revision)
	}
	return h, nil
}

// DecodeDocument decodes and validates a document. An invalid one gives a
// *ValidationError.
func DecodeDocument(raw []byte) (*Document, error) {
	d := &Document{}
	if err := decodeStrict(raw, d); err != nil {
		return nil, err
	}
	d.fillMaps()
	if problems := Validate(d); len(problems) > 0 {
		return nil, &ValidationError{Problems: problems}
	}
	return d, nil
}

// DecodeCheckpoint decodes a checkpoint and validates its document. An invalid
// document gives a *ValidationError.
func DecodeCheckpoint(raw []byte) (*Checkpoint, error) {
	c := &Checkpoint{}
	if err := decodeStrict(raw, c); err != nil {
		return nil, err
	}
	if c.Document == nil {
		return nil, errors.New("checkpoint has no document")
	}
	c.Document.fillMaps()
	if problems := Validate(c.Document); len(problems) > 0 {
		return nil, &ValidationError{Problems: problems}
	}
	return c, nil
}
