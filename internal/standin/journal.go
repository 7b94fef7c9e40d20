package standin

import (
	"encoding/json"
	"io"
	"time"
)

// JournalEntry is a line of the journal file of an engine or plain service. It
// is written before the request's first effect is visible to a caller, so the
// file lists every request that a killed process had executed.
type JournalEntry struct {
	Incarnation string `json:"incarnation"`
	RequestID   string `json:"request_id"`
	// Generation is the generation id; plain services leave it empty.
	Generation     string `json:"generation,omitempty"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	// ColdLimitExceeded is set when the request exceeded a cold engine's concurrency limit.
	ColdLimitExceeded bool      `json:"cold_limit_exceeded,omitempty"`
	At                time.Time `json:"at"`
}

// appendJournal writes one line in a single write call. A failed write panics, which
// fails the request, since a check of the journal would miss an unrecorded one.
func appendJournal(w io.Writer, line JournalEntry) {
	if w == nil {
		return
	}
	raw, err := json.Marshal(line)
	if err == nil {
		_, err = w.Write(append(raw, '\n'))
	}
	if err != nil {
		panic(err)
	}
}
