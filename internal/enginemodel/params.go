package enginemodel

import "time"

// Default parameters. They describe a mid-size model on one accelerator group, with the KV
// cache as the bottleneck at a step time a little under 52 ms.
const (
	// DefaultBlockTokens is the number of tokens in a KV cache block.
	DefaultBlockTokens = 16
	// DefaultBlocks is the number of KV cache blocks, 98,304 tokens in total.
	DefaultBlocks = 6144
	// DefaultMaxRunning is the engine's maximum batch size, in requests.
	DefaultMaxRunning = 256
	// DefaultStepTokens is the maximum number of tokens processed in one step, prefill and
	// decode together. Longer prompts are prefilled in chunks.
	DefaultStepTokens = 4096

	// DefaultStepBase is the fixed time of a step.
	DefaultStepBase = 14 * time.Millisecond
	// DefaultStepPerRequest is added for each decoding request.
	DefaultStepPerRequest = 150 * time.Microsecond
	// DefaultStepPerContext is added for each 1,000 context tokens of decoding requests.
	DefaultStepPerContext = 120 * time.Microsecond
	// DefaultStepPerPrefill is added for each prefilled token.
	DefaultStepPerPrefill = 20 * time.Microsecond

	// DefaultColdFactor multiplies the step time of a cold engine.
	DefaultColdFactor = 2.0
	// DefaultColdConcurrency is the number of concurrent requests above which a cold engine
	// crashes, before it has completed any.
	DefaultColdConcurrency = 8
	// DefaultWarmUpPerCompletion raises the concurrency limit of a cold engine for each
	// completed request. The warm-up ends when the limit reaches MaxRunning.
	DefaultWarmUpPerCompletion = 4

	// DefaultReportInterval is the interval between load samples.
	DefaultReportInterval = 100 * time.Millisecond
	// DefaultReportLag is the age at which a load sample becomes visible to readers.
	DefaultReportLag = 500 * time.Millisecond
	// DefaultEventLag is the age at which a cache event becomes visible to readers.
	DefaultEventLag = 300 * time.Millisecond
	// DefaultEventLoss is the share of cache events that are lost.
	DefaultEventLoss = 0.02

	// retainedSamples is the number of load samples that remain when the history is trimmed,
	// 10 s at the default interval.
	retainedSamples = 100
	// maxEvents limits the cache events kept for readers.
	maxEvents = 1024
	// firstTokenWindow is the number of latest requests in a report's percentile of the time
	// to first token.
	firstTokenWindow = 20
	// stepSmoothing is the weight of the newest step in the moving average of the reported
	// step time.
	stepSmoothing = 0.1
)

// Params configures an engine. The constants named Default describe each field.
type Params struct {
	BlockTokens, Blocks, MaxRunning, StepTokens int

	StepBase, StepPerRequest, StepPerContext, StepPerPrefill time.Duration

	ColdFactor                           float64
	ColdConcurrency, WarmUpPerCompletion int

	ReportInterval, ReportLag, EventLag time.Duration
	EventLoss                           float64
}

// DefaultParams returns the parameters given by the constants named Default.
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

// ProductionEventTokens is the number of tokens per stream event of the engines described by
// ProductionParams.
const ProductionEventTokens = 4

// ProductionParams returns the parameters of the engines in production. Package calibration
// compares the model with generations recorded there.
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
