package forward

import (
	"time"

	"monsoonkeel.example/monsoonkeel/core/relay"
)

// stallFactor is the time without an event after which another engine is asked to resume a
// generation with a standby replica, as a multiple of the target token gap. The stream is late
// then, but its source may be sound and go on.
const stallFactor = 2

// awaitSilence starts or restarts the wait for a silence of the source.
func (gen *generation) awaitSilence() {
	gap := gen.r.route.GapObjective
	if gap <= 0 {
		return
	}
	gen.mu.Lock()
	defer gen.mu.Unlock()
	// Engines that accept and are then silent too are not left sooner and sooner.
	after := min(stallFactor*gap<<min(gen.silentSwitches, 8), relay.SilenceLimit)
	switch {
	case gen.ended:
	case gen.silenceTimer == nil:
		gen.silenceTimer = time.AfterFunc(after, gen.sourceIsSilent)
	default:
		gen.silenceTimer.Reset(after)
	}
}

// sourceIsSilent asks the engine with the standby replica to resume the generation. If it does not
// respond, it is asked again once the source is taken for dead.
func (gen *generation) sourceIsSilent() {
	source := gen.serverID()
	sw := gen.switchToStandby(source)
	gen.mu.Lock()
	defer gen.mu.Unlock()
	if gen.ended {
		return
	}
	if sw != nil && sw.ex != nil {
		gen.silentSwitches++
		return // relayFrom waits for the next silence
	}
	left := relay.SilenceLimit - gen.relay.Silence(time.Now())
	if left <= 0 {
		left = relay.SilenceLimit
	}
	gen.silenceTimer.Reset(left)
}

// stopAwaitingSilence ends the wait for a silence. gen.mu must be held.
func (gen *generation) stopAwaitingSilence() {
	if gen.silenceTimer != nil {
		gen.silenceTimer.Stop()
	}
}
