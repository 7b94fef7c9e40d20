package ctl

import (
	"encoding/json"
	"errors"
	"fmt"

	"monsoonkeel.example/monsoonkeel/core/config"
	"monsoonkeel.example/monsoonkeel/internal/process/admin"
)

// Exit codes; the package comment describes them. exitUnreachable is also returned
// when a daemon responded with a 5xx status and the verdict not_run.
const (
	exitOK          = 0
	exitUsage       = 1
	exitRejected    = 2
	exitConflict    = 3
	exitUnreachable = 4
	exitUnknown     = 5
)

// exitError is an error with the exit code of the program.
type exitError struct {
	code int
	err  error
	// problem is the problem document of the daemon's response, if any.
	problem *admin.Problem
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

func usageError(format string, args ...any) error {
	return &exitError{code: exitUsage, err: fmt.Errorf(format, args...)}
}

func rejectedError(format string, args ...any) error {
	return &exitError{code: exitRejected, err: fmt.Errorf(format, args...)}
}

func conflictError(conflicts []config.Conflict) error {
	err := &config.ConflictError{Conflicts: conflicts}
	return &exitError{code: exitConflict, err: err, problem: &admin.Problem{Status: 409, Code: "conflict", Detail: err.Error(), Conflicts: conflicts}}
}

// exit prints the error, if any, and returns the exit code, exitRejected for an error
// without a code. With --output=json it prints the daemon's problem document
// instead, if there is one.
func (t *tool) exit(err error) int {
	if err == nil {
		return exitOK
	}
	var e *exitError
	if !errors.As(err, &e) {
		e = &exitError{code: exitRejected, err: err}
	}
	if t.json && e.problem != nil {
		raw, marshalErr := json.Marshal(e.problem)
		if marshalErr == nil {
			fmt.Fprintf(t.errOut, "%s\n", raw)
			return e.code
		}
	}
	fmt.Fprintf(t.errOut, "monsoonkeelctl: %v\n", err)
	if e.problem != nil {
		t.printProblem(e.problem)
	}
	return e.code
}

// printProblem prints the validation errors, and the stored and the attempted
// value of every conflict.
func (t *tool) printProblem(p *admin.Problem) {
	for _, text := range p.Errors {
		fmt.Fprintf(t.errOut, "  %s\n", text)
	}
	for _, c := range p.Conflicts {
		stored := string(c.Stored)
		if stored == "" {
			stored = "(does not exist)"
		}
		attempted := string(c.Attempted.Value)
		if attempted == "" {
			attempted = "(" + string(c.Attempted.Action) + ")"
		}
		fmt.Fprintf(t.errOut, "  %s %s\n    stored at revision %d: %s\n    attempted from revision %d: %s\n",
			c.Attempted.Kind, c.Attempted.Name, c.StoredRevision, stored, c.Attempted.Expected, attempted)
	}
}
