package config

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

// Kind names a section of the document.
type Kind string

// The kinds of items.
const (
	KindClass   Kind = "class"
	KindTeam    Kind = "team"
	KindService Kind = "service"
	KindDomain  Kind = "domain"
	KindDrain   Kind = "drain"
)

// Action says what an operation does to its item.
type Action string

const (
	// ActionPut creates or replaces the item.
	ActionPut Action = "put"
	// ActionDelete removes the item.
	ActionDelete Action = "delete"
)

// Op is one operation of a change.
type Op struct {
	Kind   Kind   `json:"kind"`
	Name   string `json:"name"`
	Action Action `json:"action"`
	// Expected is the item revision that the operator saw; 0 means that the
	// item did not exist.
	Expected Revision `json:"expected"`
	// Value is the item as JSON; only for put. Its revision is ignored.
	Value json.RawMessage `json:"value,omitempty"`
}

// Change is a set of operations that take effect together.
type Change struct {
	// ID is chosen by the operator's tool and is unique; a change whose id was
	// accepted before is not applied again.
	ID     string    `json:"id"`
	Author string    `json:"author,omitempty"`
	At     time.Time `json:"at"`
	Ops    []Op      `json:"ops"`
}

// Conflict shows an operation whose item changed since the operator read it.
type Conflict struct {
	// Attempted is the refused operation.
	Attempted Op `json:"attempted"`
	// StoredRevision is the revision of the stored item; 0 means that there is none.
	StoredRevision Revision `json:"stored_revision"`
	// Stored is the stored item as JSON; absent if there is none.
	Stored json.RawMessage `json:"stored,omitempty"`
}

// ConflictError lists every conflicting item of a change.
type ConflictError struct {
	Conflicts []Conflict `json:"conflicts"`
}

// Error implements error.
func (e *ConflictError) Error() string {
	parts := make([]string, 0, len(e.Conflicts))
	for _, c := range e.Conflicts {
		parts = append(parts, fmt.Sprintf("%s %q: expected revision %d, stored revision %d",
			c.Attempted.Kind, c.Attempted.Name, c.Attempted.Expected, c.StoredRevision))
	}
	return "configuration conflict: " + strings.Join(parts, "; ")
}

// ValidationError lists every reason why a change or document is invalid.
type ValidationError struct {
	Problems []string `json:"errors"`
}

// Error implements error.
func (e *ValidationError) Error() string {
	return "invalid configuration: " + strings.Join(e.Problems, "; ")
}

// Apply returns the document that results from the change, at the next
// revision. doc must be valid, as Empty, the decoders and Apply return it, and
// is not modified. The error is a *ValidationError or, if the change itself is
// well formed, a *ConflictError.
func Apply(doc *Document, change Change) (*Document, error) {
	problems := checkChange(change)
	next := doc.clone()
	next.Revision++
	var conflicts []Conflict
	for i, op := range change.Ops {
		s, ok := sections[op.Kind]
		if !ok {
			problems = append(problems, fmt.Sprintf("op %d: unknown kind %q", i, op.Kind))
			continue
		}
		if stored, value := s.get(doc, op.Name); stored != op.Expected {
			conflicts = append(conflicts, Conflict{Attempted: op, StoredRevision: stored, Stored: value})
			continue
		}
		if err := applyOp(next, s, op); err != nil {
			problems = append(problems, fmt.Sprintf("op %d: %s %q: %v", i, op.Kind, op.Name, err))
		}
	}
	if len(conflicts) > 0 && len(problems) == 0 {
		return nil, &ConflictError{Conflicts: conflicts}
	}
	if len(problems) > 0 || !staysValid(next, change) {
		problems = append(problems, Validate(next)...)
	}
	if len(problems) > 0 {
		return nil, &ValidationError{Problems: problems}
	}
	return next, nil
}

func applyOp(next *Document, s section, op Op) error {
	switch op.Action {
	case ActionPut:
		return s.put(next, op.Name, op.Value)
	case ActionDelete:
		if op.Expected == 0 {
			return fmt.Errorf("cannot delete an item that does not exist")
		}
		if len(op.Value) > 0 {
			return fmt.Errorf("delete takes no value")
		}
		s.remove(next, op.Name)
		return nil
	default:
		return fmt.Errorf("unknown action %q", op.Action)
	}
}

func checkChange(change Change) []string {
	var problems []string
	if !identifierPattern.MatchString(change.ID) {
		problems = append(problems, fmt.Sprintf("change id %.140q must match %s", change.ID, identifierPattern))
	}
	if len(change.Author) > MaxAuthorBytes {
		problems = append(problems, fmt.Sprintf("author is longer than %d bytes", MaxAuthorBytes))
	}
	if len(change.Ops) == 0 || len(change.Ops) > MaxOps {
		problems = append(problems, fmt.Sprintf("a change has 1 to %d operations, not %d", MaxOps, len(change.Ops)))
	}
	seen := map[string]bool{}
	for i, op := range change.Ops {
		key := string(op.Kind) + "/" + op.Name
		if seen[key] {
			problems = append(problems, fmt.Sprintf("op %d: %s %q appears twice in the change", i, op.Kind, op.Name))
		}
		seen[key] = true
	}
	if raw, err := json.Marshal(change); err != nil {
		problems = append(problems, "change cannot be encoded: "+err.Error())
	} else if len(raw) > MaxChangeBytes {
		problems = append(problems, fmt.Sprintf("change has %d bytes, limit %d", len(raw), MaxChangeBytes))
	}
	return problems
}
