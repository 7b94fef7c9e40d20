package enginemodel

import "time"

// Default parameters. All are assumptions about a mid-size model on one
// accelerator group, chosen so that cache memory is the bottleneck at a step
// time a little under 52 ms; none was measured on a real engine.
const (
	// DefaultBlockTokens is the number of tokens a cache block holds.
	DefaultBlockTokens = 16
	// DefaultBlocks is the number of cache blocks; 98,304 tokens in all.
	DefaultBlocks = 6144
	// DefaultMaxRunning is the engine's own bound on the batch, in requests.
	DefaultMaxRunning = 256
	// DefaultStepTokens is the number of tokens one step processes at most,
	// prefill and decode together. Longer prompts are prefilled in chunks.
	DefaultStepTokens = 4096

	// DefaultStepBase is the time of a step that does nothing.
	DefaultStepBase = 14 * time.Millisecond
	// DefaultStepPerRequest is added for each request that decodes.
	DefaultStepPerRequest = 150 * time.Microsecond
	// DefaultStepPerContext is added for each 1,000 tokens of context read.
	DefaultStepPerContext = 120 * time.Microsecond
	// DefaultStepPerPrefill is added for each prompt token computed.
	DefaultStepPerPrefill = 20 * time.Microsecond

	// DefaultColdFactor multiplies the step time of a cold engine.
	DefaultColdFactor = 2.0
	// DefaultColdConcurrency is the number of requests that a cold engine bears;
	// above it the engine falls over.
	DefaultColdConcurrency = 8
	// DefaultWarmUpPerCompletion is how many more requests a cold engine bears for
	// each one it completed; at MaxRunning it is warm.
	DefaultWarmUpPerCompletion = 4

	// DefaultReportInterval is the interval between load samples.
	DefaultReportInterval = 100 * time.Millisecond
	// DefaultReportLag is the age at which a load sample becomes visible.
	DefaultReportLag = 500 * time.Millisecond
	// DefaultEventLag is the age at which a cache event becomes visible.
	DefaultEventLag = 300 * time.Millisecond
	// DefaultEventLoss is the share of cache events that never appear.
	DefaultEventLoss = 0.02

	// samplesKept bounds the load history: 10 s at the default interval.
	samplesKept = 100
	// eventsKept bounds the cache events that can still be read.
	eventsKept = 1024
	// firstTokensKept is the number of first-token times a report's percentile covers.
	firstTokensKept = 20
	// stepSmoothing is the weight of the newest step in the reported step time.
	stepSmoothing = 0.1
)

// Params describes an engine.
type Params struct {
	BlockTokens, Blocks, MaxRunning, StepTokens int

	StepBase, StepPerRequest, StepPerContext, StepPerPrefill time.Duration

	ColdFactor                           float64
	ColdConcurrency, WarmUpPerCompletion int

	ReportInterval, ReportLag, EventLag time.Duration
	EventLoss                           float64
}

// DefaultParams returns the default parameters.
func DefaultParams() Params {
	return Params{
		BlockTokens: DefaultBlockTokens, Blocks: DefaultBlocks,
		MaxRunning: DefaultMaxRunning, StepTokens: DefaultStepTokens,
		StepBase: DefaultStepBase, StepPerRequest: DefaultStepPerRequest,
		StepPerContext: DefaultStepPerContext, StepPerPrefill: DefaultStepPerPrefill,
		ColdFactor: DefaultColdFactor, ColdConcurrency: DefaultColdConcurrency, WarmUpPerCompletion: DefaultWarmUpPerCompletion,
		ReportInterval: DefaultReportInterval, ReportLag: DefaultReportLag,
		EventLag: DefaultEventLag, EventLoss: DefaultEventLoss,
	}
}

// ProductionEventTokens is the number of tokens in an event of the engines of
// Measured.
const ProductionEventTokens = 4

// ProductionParams returns the parameters of the users' engines as their pages state
// them; package calibration compares the model with recorded runs.
func ProductionParams() Params {
	p := DefaultParams()
	p.Blocks = 2152 // 34,431 tokens
	p.MaxRunning = 64
	p.StepTokens = 112
	p.StepBase = 7 * time.Millisecond
	p.StepPerRequest = 120 * time.Microsecond
	p.StepPerContext = 4 * time.Microsecond
	p.StepPerPrefill = time.Millisecond / 14
	return p
}
