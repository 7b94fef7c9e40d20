package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"monsoonkeel.example/monsoonkeel/internal/platform"
)

// PlainFaults are the fault switches of the plain service.
type PlainFaults struct {
	Refuse bool `json:"refuse"`
	// DelayMS delays each call before it is executed.
	DelayMS int `json:"delay_ms"`
	// Truncate closes the connection in the middle of the response body.
	Truncate bool `json:"truncate"`
	// CloseAfterRun executes the call and closes the connection without a response.
	CloseAfterRun bool `json:"close_after_run"`
}

// plainRun is the record of one executed call.
type plainRun struct {
	Run            int       `json:"run"`
	Method         string    `json:"method"`
	Path           string    `json:"path"`
	RequestID      string    `json:"request_id"`
	IdempotencyKey string    `json:"idempotency_key,omitempty"`
	BodySHA256     string    `json:"body_sha256"`
	At             time.Time `json:"at"`
}

// PlainService is a plain service that echoes every call in its response.
type PlainService struct {
	faults      faultSwitch[PlainFaults]
	incarnation string
	leaving     atomic.Bool
	// Journal, if not nil, receives a JournalEntry for each executed call.
	Journal io.Writer

	mu       sync.Mutex
	runs     []plainRun
	running  int
	sequence uint64
}

// NewPlainService returns a plain service that sends incarnation with every
// response and load report.
func NewPlainService(incarnation string) *PlainService {
	return &PlainService{incarnation: incarnation}
}

// SetLeaving sets the termination notice in the load reports.
func (p *PlainService) SetLeaving() { p.leaving.Store(true) }

// Handler serves any method and path, and GET /v1/load, /faults and
// /debug/journal.
func (p *PlainService) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/faults", &p.faults)
	mux.HandleFunc("GET /v1/load", p.load)
	mux.HandleFunc("GET /debug/journal", func(w http.ResponseWriter, _ *http.Request) {
		p.mu.Lock()
		defer p.mu.Unlock()
		writeJSON(w, http.StatusOK, map[string]any{"incarnation": p.incarnation, "runs": append([]plainRun{}, p.runs...)})
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Incarnation", p.incarnation)
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		// The mux redirects requests with unclean paths, so only its own paths are passed to it.
		switch r.URL.Path {
		case "/faults", "/v1/load", "/debug/journal":
			mux.ServeHTTP(w, r)
		default:
			p.echo(w, r)
		}
	})
}

func (p *PlainService) load(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sequence++
	writeJSON(w, http.StatusOK, platform.LoadReport{
		Incarnation: p.incarnation, Sequence: p.sequence, Leaving: p.leaving.Load(), Running: p.running, Completed: uint64(len(p.runs)),
	})
}

func (p *PlainService) echo(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	f := p.faults.get()
	if f.Refuse {
		writeUnavailable(w)
		return
	}
	p.addRunning(1)
	defer p.addRunning(-1)
	// The delay ignores cancellation: a call is executed even if its caller disconnected.
	time.Sleep(milliseconds(f.DelayMS))
	run := p.record(r, body)
	if f.CloseAfterRun {
		panic(http.ErrAbortHandler)
	}
	trailers := map[string]string{}
	for name := range r.Trailer {
		trailers[name] = r.Trailer.Get(name)
	}
	response := map[string]any{
		"method": r.Method, "path": r.URL.RequestURI(), "body": string(body),
		"request_id": r.Header.Get("X-Request-Id"), "run": run, "trailers": trailers,
	}
	if f.Truncate {
		writeTruncated(w, response)
		return
	}
	if strings.Contains(strings.ToLower(r.Header.Get("TE")), "trailers") {
		writeWithTrailer(w, response)
		return
	}
	writeJSON(w, http.StatusOK, response)
}

// writeWithTrailer sends v with chunked encoding and its SHA-256 as a trailer.
func writeWithTrailer(w http.ResponseWriter, v any) {
	body, _ := json.Marshal(v) // maps of plain values always marshal
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Trailer", "X-Body-Sha256")
	_, _ = w.Write(body)
	_ = http.NewResponseController(w).Flush()
	w.Header().Set("X-Body-Sha256", digest(body))
}

func digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

func (p *PlainService) addRunning(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running += n
}

// record adds the call to the list of runs and to the journal and returns its
// run number, counted from 1.
func (p *PlainService) record(r *http.Request, body []byte) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runs = append(p.runs, plainRun{
		Run: len(p.runs) + 1, Method: r.Method, Path: r.URL.RequestURI(), RequestID: r.Header.Get("X-Request-Id"),
		IdempotencyKey: r.Header.Get("Idempotency-Key"), BodySHA256: digest(body), At: time.Now(),
	})
	appendJournal(p.Journal, JournalEntry{
		Incarnation: p.incarnation, RequestID: r.Header.Get("X-Request-Id"),
		IdempotencyKey: r.Header.Get("Idempotency-Key"), At: time.Now(),
	})
	return len(p.runs)
}
