package forward

import (
	"errors"
	"os"
)

// endedBy is who ended the body of a source, as it is logged.
type endedBy string

// Who ends the body of a source. All but endedByEngine are this host.
const (
	endedByEngine     endedBy = "engine"
	endedByIdle       endedBy = "idle_timeout"
	endedByOverlap    endedBy = "overlap"
	endedBySwitchover endedBy = "switchover"
	endedByFinalCopy  endedBy = "final_copy"
	endedByRequest    endedBy = "request"
)

// endedBy tells who ended the body of the current source; end is the error of reading it.
func (gen *generation) endedBy(end error) endedBy {
	gen.mu.Lock()
	defer gen.mu.Unlock()
	switch {
	case gen.interruptedBy != "":
		return gen.interruptedBy
	case gen.r.ctx.Err() != nil:
		return endedByRequest
	case errors.Is(end, os.ErrDeadlineExceeded):
		return endedByIdle
	case gen.migration != nil && gen.migration.finalCopy:
		return endedByFinalCopy
	}
	return endedByEngine
}
