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
	// reportInterval is the time between two load reports.
	reportInterval = 50 * time.Millisecond
	// maxReports bounds the lag that load reports can show, here to one minute.
	maxReports = 1200
	// maxFirstTokens is the number of first-token times that a load report's percentile covers.
	maxFirstTokens = 64
	// maxCacheEvents is the number of cache events kept; older ones are a gap.
	maxCacheEvents = 1024
	// blockTokens is the number of tokens in a cache block.
	blockTokens = 16
	// blocksTotal is the size of the cache memory in blocks.
	blocksTotal = 4096
)

// EngineFaults are the fault switches of the engine.
type EngineFaults struct {
	Refuse bool `json:"refuse"`
	// DelayMS delays each new generation before it is accepted.
	DelayMS int `json:"delay_ms"`
	// Stall stops all streams from sending while they stay open.
	Stall bool `json:"stall"`
	// DieAfterTokens ends the process when a generation has produced this
	// many tokens; 0 means never.
	DieAfterTokens int `json:"die_after_tokens"`
	// Cross makes the next answer carry another generation's id and tokens.
	Cross bool `json:"cross"`
	// DuplicateEvents sends every event twice.
	DuplicateEvents bool `json:"duplicate_events"`
	// SkipEvents leaves out every third event of an answer.
	SkipEvents bool `json:"skip_events"`
	// Truncate ends streams without the end marker and cuts unstreamed answers.
	Truncate bool `json:"truncate"`
	// Cold turns the engine cold once, when the switch is set.
	Cold bool `json:"cold"`
	// LoadLagMS is the age of the load reports.
	LoadLagMS int `json:"load_lag_ms"`
}

// EngineConfig are the settings of an engine.
type EngineConfig struct {
	Incarnation   string
	TokenInterval time.Duration
	// ColdFirstToken is the additional time to the first token while cold.
	ColdFirstToken time.Duration
	// ColdLimit is the number of concurrent generations a cold engine can
	// handle; with more it fails all of them.
	ColdLimit int
	// WarmAfter is the number of completed generations that make a cold engine warm.
	WarmAfter int
	// Retention is the time for which an ended generation can be resumed.
	Retention     time.Duration
	ChecksFencing bool
	Faults        EngineFaults
	// Journal, if set, gets a JournalLine for each generation at its start.
	Journal io.Writer
	// Exit ends the process; it is called by the fault DieAfterTokens.
	Exit func()
}

// generationState says how far a generation is.
type generationState string

const (
	running   generationState = "running"
	completed generationState = "completed"
	cancelled generationState = "cancelled"
	failed    generationState = "failed"
)

// generation is one run of the model; the fields are guarded by Engine.mu.
type generation struct {
	ID          string          `json:"id"`
	RequestID   string          `json:"request_id"`
	Model       string          `json:"model"`
	Tokens      int             `json:"tokens"`
	MaxTokens   int             `json:"max_tokens"`
	State       generationState `json:"state"`
	StartedAt   time.Time       `json:"started_at"`
	StartedCold bool            `json:"started_cold"`
	// ColdLimitExceeded says that the generation ran or was refused while the
	// cold engine had more work than it can handle.
	ColdLimitExceeded bool   `json:"cold_limit_exceeded"`
	Priority          string `json:"priority,omitempty"`
	DeadlineMS        string `json:"deadline_ms,omitempty"`

	chat    bool
	prompt  int
	prefix  string
	readers int
	endedAt time.Time
	changed chan struct{}
}

// Engine is a model engine. Its tokens are a pure function of generation id
// and offset, so a test can detect tokens of another generation.
type Engine struct {
	leaving atomic.Bool

	config EngineConfig
	faults faultSwitch[EngineFaults]

	mu          sync.Mutex
	generations map[string]*generation
	order       []string
	// active are the running generations; generations keeps ended ones for the journal.
	active            map[*generation]struct{}
	cold              bool
	warmProgress      int
	coldViolations    int
	maxColdConcurrent int
	completed         uint64
	firstTokens       []time.Duration
	reports           []timedReport
	sequence          uint64
	cacheEvents       []cacheEvent
	cacheSequence     uint64
	control           []controlCommand
	highestFencing    uint64
}

type timedReport struct {
	platform.LoadReport
	at time.Time
}

// cacheEvent says that the prefix cache stored a prompt's blocks.
type cacheEvent struct {
	Sequence uint64 `json:"seq"`
	Kind     string `json:"kind"`
	Prefix   string `json:"prefix"`
	Blocks   int    `json:"blocks"`
}

// controlCommand is an order to the engine, for example to load a model.
type controlCommand struct {
	Kind          string `json:"kind"`
	Name          string `json:"name"`
	FencingNumber uint64 `json:"fencing_number"`
}

// NewEngine returns a cold engine. Run must be called for it to report load.
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

// SetLeaving makes load reports say that the engine is about to stop.
func (e *Engine) SetLeaving() { e.leaving.Store(true) }

// Run writes load reports until ctx ends.
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
		blocks += (g.prompt+g.Tokens)/blockTokens + 1
	}
	times := append([]time.Duration(nil), e.firstTokens...)
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

// load returns the newest report that is at least lag old, or the oldest kept.
func (e *Engine) load(now time.Time, lag time.Duration) platform.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	i := sort.Search(len(e.reports), func(i int) bool { return e.reports[i].at.After(now.Add(-lag)) })
	r := e.reports[max(i-1, 0)]
	r.AgeMS = max(now.Sub(r.at).Milliseconds(), 0)
	return r.LoadReport
}

// startError is a refusal of a new generation.
type startError struct {
	status int
	text   string
}

func (e *startError) Error() string { return e.text }

// start admits a generation and runs it in its own goroutine, attached to one
// reader. received is when the request arrived.
func (e *Engine) start(g *generation, received time.Time) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.generations[g.ID] != nil {
		return &startError{http.StatusConflict, "generation id was used before"}
	}
	g.State, g.StartedAt, g.StartedCold = running, received, e.cold
	g.changed = make(chan struct{})
	e.generations[g.ID] = g
	e.order = append(e.order, g.ID)
	e.active[g] = struct{}{}
	line := JournalEntry{Incarnation: e.config.Incarnation, RequestID: g.RequestID, Generation: g.ID, At: received}
	line.ColdLimitExceeded = e.cold && len(e.active) > e.config.ColdLimit
	appendJournal(e.config.Journal, line)
	if e.cold {
		e.maxColdConcurrent = max(e.maxColdConcurrent, len(e.active))
		if len(e.active) > e.config.ColdLimit {
			e.failAll()
			return &startError{http.StatusInternalServerError, "cold engine is overloaded; all its requests failed"}
		}
	}
	g.readers = 1
	e.storePrefix(g)
	wait := e.config.TokenInterval
	if e.cold {
		wait += e.config.ColdFirstToken
	}
	go e.produce(g, wait)
	return nil
}

// failAll records the violation of the cold limit and ends all running generations.
func (e *Engine) failAll() {
	e.coldViolations++
	for g := range e.active {
		g.ColdLimitExceeded = true
		e.end(g, failed)
	}
}

// end moves a running generation to its final state. The caller holds e.mu.
func (e *Engine) end(g *generation, state generationState) {
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

// produce adds a token per interval until the generation ends. It does not
// depend on readers.
func (e *Engine) produce(g *generation, first time.Duration) {
	time.Sleep(first)
	ticker := time.NewTicker(e.config.TokenInterval)
	defer ticker.Stop()
	for e.step(g) {
		<-ticker.C
	}
}

func (e *Engine) step(g *generation) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if g.State != running {
		return false
	}
	g.Tokens++
	if g.Tokens == 1 {
		e.firstTokens = append(e.firstTokens, time.Since(g.StartedAt))
		if len(e.firstTokens) > maxFirstTokens {
			e.firstTokens = e.firstTokens[1:]
		}
	}
	if n := e.faults.get().DieAfterTokens; n > 0 && g.Tokens >= n && e.config.Exit != nil {
		e.config.Exit()
	}
	if g.Tokens >= g.MaxTokens {
		e.end(g, completed)
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

// storePrefix records the cache event of a prompt. The caller holds e.mu.
func (e *Engine) storePrefix(g *generation) {
	e.cacheSequence++
	e.cacheEvents = append(e.cacheEvents, cacheEvent{
		Sequence: e.cacheSequence, Kind: "stored", Prefix: g.prefix, Blocks: g.prompt/blockTokens + 1,
	})
	if len(e.cacheEvents) > maxCacheEvents {
		e.cacheEvents = e.cacheEvents[1:]
	}
}
