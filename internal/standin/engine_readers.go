package standin

import (
	"fmt"
	"net/http"
	"time"
)

// progress is a snapshot of a generation; changed is closed at its next change.
type progress struct {
	tokens  int
	state   generationState
	changed <-chan struct{}
}

// attach adds a reader to a generation that is running or within its retention time.
func (e *Engine) attach(id string, offset int) (*generation, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g := e.generations[id]
	switch {
	case g == nil:
		return nil, &statusError{http.StatusNotFound, "unknown generation"}
	case g.State == cancelled || g.State == failed:
		return nil, &statusError{http.StatusGone, "generation is " + string(g.State)}
	case g.State == completed && time.Since(g.endedAt) > e.config.Retention:
		return nil, &statusError{http.StatusGone, "generation is past its retention time"}
	case offset > g.Tokens:
		return nil, &statusError{http.StatusRequestedRangeNotSatisfiable, fmt.Sprintf("offset %d is beyond the %d tokens produced", offset, g.Tokens)}
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
// it returns a conflict error while a reader is attached.
func (e *Engine) cancel(id string, ifDetached bool) (generation, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g := e.generations[id]
	if g == nil {
		return generation{}, &statusError{http.StatusNotFound, "unknown generation"}
	}
	if g.State == running {
		if ifDetached && g.readers > 0 {
			return generation{}, &statusError{http.StatusConflict, "a reader is attached"}
		}
		e.finish(g, cancelled)
	}
	return *g, nil
}

// responseID returns the id that the response carries: id, or that of another
// generation under the fault Cross, which applies to one response.
func (e *Engine) responseID(id string) string {
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
	for i := len(e.startOrder) - 1; i >= 0; i-- {
		if e.startOrder[i] != id {
			return e.startOrder[i]
		}
	}
	return "crossed-" + id
}
