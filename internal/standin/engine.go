package standin

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonkeel.example/monsoonkeel/internal/platform"
)

const (
	reportInterval = 50 * time.Millisecond
	// maxReports is the number of load reports kept; it limits LoadLagMS to one minute.
	maxReports = 1200
	// firstTokenWindow is the number of generations in a load report's percentile of the
	// time to first token.
	firstTokenWindow = 64
	// maxCacheEvents is the number of cache events kept; a reader that is further behind
	// sees a gap in the sequence numbers.
	maxCacheEvents = 1024
	// blockTokens is the number of tokens in a KV cache block.
	blockTokens = 16
	// blocksTotal is the size of the KV cache in blocks.
	blocksTotal = 4096
)

// EngineFaults are the fault switches of the engine.
type EngineFaults struct {
	Refuse bool `json:"refuse"`
	// DelayMS delays each new generation before it is accepted.
	DelayMS int `json:"delay_ms"`
	// Stall keeps all streams and unstreamed responses open without sending.
	Stall bool `json:"stall"`
	// DieAfterTokens ends the process when a generation has produced this
	// many tokens; 0 means never.
	DieAfterTokens int `json:"die_after_tokens"`
	// Cross makes the next response carry another generation's id and tokens.
	Cross bool `json:"cross"`
	// DuplicateEvents sends every event twice.
	DuplicateEvents bool `json:"duplicate_events"`
	// SkipEvents omits every third event of a response.
	SkipEvents bool `json:"skip_events"`
	// Truncate ends streams without the end marker and closes the connection in the
	// middle of an unstreamed response.
	Truncate bool `json:"truncate"`
	// Cold makes the engine cold when the switch is set; it resets itself.
	Cold bool `json:"cold"`
	// LoadLagMS is the age of the load report that GET /v1/load returns.
	LoadLagMS int `json:"load_lag_ms"`
}

// EngineConfig are the settings of an engine.
type EngineConfig struct {
	Incarnation   string
	TokenInterval time.Duration
	// ColdFirstToken is added to the time to first token while the engine is cold.
	ColdFirstToken time.Duration
	// ColdLimit is the concurrency limit of a cold engine; when it is exceeded,
	// all running generations fail.
	ColdLimit int
	// WarmAfter is the number of completed generations after which a cold engine is
	// warm; with 0 the engine is always warm.
	WarmAfter int
	// Retention is how long a completed generation can still be resumed.
	Retention     time.Duration
	ChecksFencing bool
	Faults        EngineFaults
	// Journal, if not nil, receives a JournalEntry for each generation at its start.
	Journal io.Writer
	// Exit terminates the process under the fault DieAfterTokens; nil disables the fault.
	Exit func()
}

// generationState is the state of a generation; all but running are final.
type generationState string

const (
	running   generationState = "running"
	completed generationState = "completed"
	cancelled generationState = "cancelled"
	failed    generationState = "failed"
)

// generation is one request running at the engine. Engine.mu guards the fields.
type generation struct {
	ID          string          `json:"id"`
	RequestID   string          `json:"request_id"`
	Model       string          `json:"model"`
	Tokens      int             `json:"tokens"`
	MaxTokens   int             `json:"max_tokens"`
	State       generationState `json:"state"`
	StartedAt   time.Time       `json:"started_at"`
	StartedCold bool            `json:"started_cold"`
	// ColdLimitExceeded is set when the generation was running or rejected while the cold engine
	// exceeded its concurrency limit.
	ColdLimitExceeded bool   `json:"cold_limit_exceeded"`
	Priority          string `json:"priority,omitempty"`
	DeadlineMS        string `json:"deadline_ms,omitempty"`

	chat         bool
	promptTokens int
	// prefix identifies the prompt in cache events; it is a hash of model and prompt.
	prefix  string
	readers int
	endedAt time.Time
	changed chan struct{}
}

// Engine is a stand-in for a model engine. Its tokens depend only on generation
// id and offset, so a test can detect tokens of another generation.
type Engine struct {
	leaving atomic.Bool

	config EngineConfig
	faults faultSwitch[EngineFaults]

	mu          sync.Mutex
	generations map[string]*generation
	startOrder  []string
	// active holds the running generations; generations also keeps ended ones for the journal.
	active map[*generation]struct{}
	cold   bool
	// warmProgress counts the generations completed since the engine became cold.
	warmProgress        int
	coldViolations      int
	maxColdConcurrent   int
	completed           uint64
	firstTokenTimes     []time.Duration
	reports             []timedReport
	sequence            uint64
	cacheEvents         []cacheEvent
	cacheSequence       uint64
	controlCommands     []controlCommand
	highestFencingToken uint64
}

type timedReport struct {
	platform.LoadReport
	at time.Time
}

// cacheEvent records that the prefix cache stored a prompt's blocks.
type cacheEvent struct {
	Sequence uint64 `json:"seq"`
	Kind     string `json:"kind"`
	Prefix   string `json:"prefix"`
	Blocks   int    `json:"blocks"`
}

// controlCommand is a control command, for example to load a model.
type controlCommand struct {
	Kind         string `json:"kind"`
	Name         string `json:"name"`
	FencingToken uint64 `json:"fencing_number"`
}

// NewEngine returns an engine, cold unless config.WarmAfter is 0. Run updates its
// load reports.
func NewEngine(config EngineConfig) *Engine {
	e := &Engine{config: config, generations: map[string]*generation{}, active: map[*generation]struct{}{}}
	e.faults.onSet = func(f *EngineFaults) {
		if f.Cold {
			e.turnCold()
			f.Cold = false
		}
	}
	e.turnCold()
	config.Faults.Cold = false
	e.faults.faults = config.Faults
	e.report(time.Now())
	return e
}

// Token returns the text of a generation's token; offsets count from 1.
func Token(generation string, offset int) string {
	words := [...]string{"river", "stone", "lamp", "cedar", "harbor", "quiet", "morning", "field", "silver", "north", "garden", "window", "paper", "autumn", "letter", "song"}
	h := xxhash.Sum64String(generation + ":" + strconv.Itoa(offset))
	return fmt.Sprintf("%s%04x ", words[h%uint64(len(words))], h>>48)
}

// SetLeaving sets the termination notice in the load reports.
func (e *Engine) SetLeaving() { e.leaving.Store(true) }

// Run adds a load report every reportInterval until ctx is done.
func (e *Engine) Run(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			e.report(now)
		case <-ctx.Done():
			return
		}
	}
}

func (e *Engine) turnCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cold, e.warmProgress = e.config.WarmAfter > 0, 0
	if e.cold {
		e.maxColdConcurrent = max(e.maxColdConcurrent, len(e.active))
	}
}

func (e *Engine) report(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	blocks := 0
	for g := range e.active {
		blocks += (g.promptTokens+g.Tokens)/blockTokens + 1
	}
	times := append([]time.Duration(nil), e.firstTokenTimes...)
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	firstToken := 0
	if len(times) > 0 {
		firstToken = int(times[(len(times)*95+99)/100-1].Milliseconds())
	}
	e.reports = append(e.reports, timedReport{at: now, LoadReport: platform.LoadReport{
		Incarnation:        e.config.Incarnation,
		Sequence:           e.sequence,
		Leaving:            e.leaving.Load(),
		Running:            len(e.active),
		BlocksUsed:         blocks,
		BlocksTotal:        blocksTotal,
		BlockTokens:        blockTokens,
		Completed:          e.completed,
		RecentFirstTokenMS: firstToken,
		StepMS:             float64(e.config.TokenInterval) / float64(time.Millisecond),
	}})
	if len(e.reports) > maxReports {
		e.reports = e.reports[1:]
	}
}

// load returns the newest load report that is at least lag old, or the oldest one kept.
func (e *Engine) load(now time.Time, lag time.Duration) platform.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	i := sort.Search(len(e.reports), func(i int) bool { return e.reports[i].at.After(now.Add(-lag)) })
	r := e.reports[max(i-1, 0)]
	r.AgeMS = max(now.Sub(r.at).Milliseconds(), 0)
	return r.LoadReport
}

// statusError is an error with the HTTP status of its response.
type statusError struct {
	status int
	text   string
}

func (e *statusError) Error() string { return e.text }

// start admits a generation with one attached reader and produces its tokens in a
// goroutine. received is the arrival time of the request.
func (e *Engine) start(g *generation, received time.Time) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.generations[g.ID] != nil {
		return &statusError{http.StatusConflict, "generation id was used before"}
	}
	g.State, g.StartedAt, g.StartedCold = running, received, e.cold
	g.changed = make(chan struct{})
	e.generations[g.ID] = g
	e.startOrder = append(e.startOrder, g.ID)
	e.active[g] = struct{}{}
	line := JournalEntry{Incarnation: e.config.Incarnation, RequestID: g.RequestID, Generation: g.ID, At: received}
	line.ColdLimitExceeded = e.cold && len(e.active) > e.config.ColdLimit
	appendJournal(e.config.Journal, line)
	if e.cold {
		e.maxColdConcurrent = max(e.maxColdConcurrent, len(e.active))
		if len(e.active) > e.config.ColdLimit {
			e.failAll()
			return &statusError{http.StatusInternalServerError, "cold engine is overloaded; all its requests failed"}
		}
	}
	g.readers = 1
	e.recordCacheEvent(g)
	wait := e.config.TokenInterval
	if e.cold {
		wait += e.config.ColdFirstToken
	}
	go e.produce(g, wait)
	return nil
}

// failAll records a violation of the cold limit and fails all running generations.
// The caller holds e.mu.
func (e *Engine) failAll() {
	e.coldViolations++
	for g := range e.active {
		g.ColdLimitExceeded = true
		e.finish(g, failed)
	}
}

// finish sets the final state of a running generation. The caller holds e.mu.
func (e *Engine) finish(g *generation, state generationState) {
	g.State, g.endedAt = state, time.Now()
	delete(e.active, g)
	if state == completed {
		e.completed++
		e.warmProgress++
		if e.warmProgress >= e.config.WarmAfter {
			e.cold = false
		}
	}
	notifyReaders(g)
}

func notifyReaders(g *generation) {
	close(g.changed)
	g.changed = make(chan struct{})
}

// produce adds a token per interval until the generation ends, with or without
// readers; first is the delay before the first token.
func (e *Engine) produce(g *generation, first time.Duration) {
	time.Sleep(first)
	ticker := time.NewTicker(e.config.TokenInterval)
	defer ticker.Stop()
	for e.addToken(g) {
		<-ticker.C
	}
}

func (e *Engine) addToken(g *generation) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if g.State != running {
		return false
	}
	g.Tokens++
	if g.Tokens == 1 {
		e.firstTokenTimes = append(e.firstTokenTimes, time.Since(g.StartedAt))
		if len(e.firstTokenTimes) > firstTokenWindow {
			e.firstTokenTimes = e.firstTokenTimes[1:]
		}
	}
	if n := e.faults.get().DieAfterTokens; n > 0 && g.Tokens >= n && e.config.Exit != nil {
		e.config.Exit()
	}
	if g.Tokens >= g.MaxTokens {
		e.finish(g, completed)
		return false
	}
	notifyReaders(g)
	return true
}

func (e *Engine) progress(g *generation) progress {
	e.mu.Lock()
	defer e.mu.Unlock()
	return progress{g.Tokens, g.State, g.changed}
}

// recordCacheEvent adds the cache event of a generation's prompt. The caller holds e.mu.
func (e *Engine) recordCacheEvent(g *generation) {
	e.cacheSequence++
	e.cacheEvents = append(e.cacheEvents, cacheEvent{
		Sequence: e.cacheSequence, Kind: "stored", Prefix: g.prefix, Blocks: g.promptTokens/blockTokens + 1,
	})
	if len(e.cacheEvents) > maxCacheEvents {
		e.cacheEvents = e.cacheEvents[1:]
	}
}
