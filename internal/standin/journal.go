package standin

import (
	"encoding/json"
	"io"
	"time"
)

// JournalEntry is a line of the journal file of an engine or plain service. It
// is written before the request's first effect is visible to a caller, so the
// file shows every run of a process that was killed.
type JournalEntry struct {
	Incarnation string `json:"incarnation"`
	RequestID   string `json:"request_id"`
	// Generation is set by engines.
	Generation     string `json:"generation,omitempty"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	// ColdLimitExceeded says that the request exceeded a cold engine's limit.
	ColdLimitExceeded bool      `json:"cold_limit_exceeded,omitempty"`
	At                time.Time `json:"at"`
}

// appendJournal writes one line with one write call. A request whose run
// cannot be recorded fails, since a check of the journal would miss it.
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
