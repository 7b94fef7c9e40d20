package standin

import (
	"fmt"
	"net/http"
	"time"
)

// progress is a reader's view of a generation.
type progress struct {
	tokens  int
	state   generationState
	changed <-chan struct{}
}

// attach adds a reader to a generation that can still be read.
func (e *Engine) attach(id string, offset int) (*generation, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g := e.generations[id]
	switch {
	case g == nil:
		return nil, &startError{http.StatusNotFound, "unknown generation"}
	case g.State == cancelled || g.State == failed:
		return nil, &startError{http.StatusGone, "generation is " + string(g.State)}
	case g.State == completed && time.Since(g.endedAt) > e.config.Retention:
		return nil, &startError{http.StatusGone, "generation is past its retention time"}
	case offset > g.Tokens:
		return nil, &startError{http.StatusRequestedRangeNotSatisfiable, fmt.Sprintf("offset %d is beyond the %d tokens produced", offset, g.Tokens)}
	}
	g.readers++
	return g, nil
}

func (e *Engine) detach(g *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g.readers--
}

// cancel ends a running generation and returns a copy of it. With ifDetached
// it refuses while a reader is attached.
func (e *Engine) cancel(id string, ifDetached bool) (generation, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g := e.generations[id]
	if g == nil {
		return generation{}, &startError{http.StatusNotFound, "unknown generation"}
	}
	if g.State == running {
		if ifDetached && g.readers > 0 {
			return generation{}, &startError{http.StatusConflict, "a reader is attached"}
		}
		e.end(g, cancelled)
	}
	return *g, nil
}

// crossedID returns the id that the next answer carries under the fault Cross.
func (e *Engine) crossedID(id string) string {
	crossed := e.faults.update(func(f *EngineFaults) bool {
		was := f.Cross
		f.Cross = false
		return was
	})
	if !crossed {
		return id
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := len(e.order) - 1; i >= 0; i-- {
		if e.order[i] != id {
			return e.order[i]
		}
	}
	return "crossed-" + id
}
