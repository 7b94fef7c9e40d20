package forward

import (
	"time"

	"monsoonkeel.example/monsoonkeel/core/relay"
)

// awaitSilence starts or restarts the wait for a silence of the source.
func (gen *generation) awaitSilence() {
	gen.mu.Lock()
	defer gen.mu.Unlock()
	now := time.Now()
	gen.relay.Await(now)
	if gen.r.route.GapObjective <= 0 && !gen.r.route.Resumable {
		return
	}
	silence := gen.relay.Silence(now)
	if silence == 0 {
		gen.askAfter = relay.SoundSilence
	}
	switch {
	case gen.ended:
	case gen.silenceTimer == nil:
		gen.silenceTimer = time.AfterFunc(gen.askAfter-silence, gen.sourceIsSilent)
	default:
		gen.silenceTimer.Reset(gen.askAfter - silence)
	}
}

// heard records that the source sent an event, or without event other bytes. Until awaitSilence, a caller
// that reads slowly is not taken for a silence of the source.
func (gen *generation) heard(event bool) {
	gen.mu.Lock()
	defer gen.mu.Unlock()
	if event {
		gen.relay.Heard(time.Now())
	} else {
		gen.relay.HeardNoEvent(time.Now())
	}
	gen.stopAwaitingSilence()
}

// sourceIsSilent asks the engine with the standby replica to resume the generation. If it does not
// respond, it is asked again once the source is taken for dead.
func (gen *generation) sourceIsSilent() {
	gen.mu.Lock()
	before := gen.relay.Silence(time.Now())
	gen.askAfter = relay.SilenceLimit
	if before >= relay.SilenceLimit {
		gen.askAfter += before
	}
	gen.mu.Unlock()
	sw := gen.askStandby()
	if sw == nil && gen.dropSilentSource() {
		return
	}
	gen.mu.Lock()
	defer gen.mu.Unlock()
	silence := gen.relay.Silence(time.Now())
	if gen.ended || sw != nil && sw.ex != nil || silence < before {
		return // relayFrom or the next event waits for the next silence
	}
	if silence >= gen.askAfter {
		gen.askAfter = silence + relay.SilenceLimit
	}
	gen.silenceTimer.Reset(gen.askAfter - silence)
}

// askStandby asks the engine with the standby replica to resume the generation of a silent source. All
// but the first request for a generation are charged to the retry budget. It returns nil if none is sent.
func (gen *generation) askStandby() *switchover {
	if !gen.hasStandby() {
		return nil
	}
	if !gen.silence.available() {
		return nil
	}
	return gen.switchToStandby(gen.serverID(), gen.silence)
}

// stopAwaitingSilence ends the wait for a silence. gen.mu must be held.
func (gen *generation) stopAwaitingSilence() {
	if gen.silenceTimer != nil {
		gen.silenceTimer.Stop()
	}
}
