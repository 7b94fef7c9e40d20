package forward

import "monsoonkeel.example/monsoonkeel/core/relay"

// endedBy is who ended the body of a source, as it is logged.
type endedBy string

// Who ends the body of a source.
const (
	endedByEngine endedBy = "engine"
	// endedBySwitchover: this host, after another engine had accepted to resume.
	endedBySwitchover endedBy = "switchover"
	// endedBySilence: this host, because the engine was silent for so long that it is taken for dead.
	endedBySilence endedBy = "silence"
	// endedByRequest: this host, because the caller left or the deadline passed.
	endedByRequest endedBy = "request"
)

// endedBy tells who ended the body of the current source. gen.mu must be held.
func (gen *generation) endedBy() endedBy {
	switch {
	case gen.takenForDead:
		return endedBySilence
	case gen.relay.State() == relay.Accepted:
		return endedBySwitchover
	case gen.r.ctx.Err() != nil:
		return endedByRequest
	}
	return endedByEngine
}
