// Package issuer implements the command issuer: the lease that determines which
// daemon sends control commands to the model engines of a service, and the
// choice of the next command. Control commands load or unload a model, an
// adapter or a version, or change an engine's role.
//
// The package does no I/O and uses no clock or random source; callers pass the
// time.
package issuer

import (
	"bytes"
	"encoding/json"
	"io"
	"regexp"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/zeebo/errs"
)

const (
	// MaxCommands is the maximum number of commands in a document.
	MaxCommands = 1024
	// MaxDocumentBytes is the size limit of an encoded document, below the
	// object API's 1 MB.
	MaxDocumentBytes = 768 << 10
	// RetainedFinished is the number of finished commands whose ids are
	// retained, in addition to those that still define an engine's desired
	// state.
	RetainedFinished = 256
	// MaxDetailBytes is the size limit of the reason stored with a command.
	MaxDetailBytes = 160

	documentVersion = 1
)

// Error is the class of errors about malformed documents and commands.
var Error = errs.Class("issuer")

// Errors of Submit, Encode and AlreadyAccepted.
var (
	// ErrFull means that a limit on the number of commands or the size of the
	// document is exceeded.
	ErrFull = Error.New("the command list is full")
	// ErrIDReused means that a different command was accepted with the same id.
	ErrIDReused = Error.New("the command id was used for another command")
)

// Kind is the kind of a control command.
type Kind string

// Kinds of control commands.
const (
	KindLoad   Kind = "load"
	KindUnload Kind = "unload"
	KindRole   Kind = "role"
)

// State is the state of a name at the engine that a command establishes.
type State string

// Desired states.
const (
	// Loaded and Unloaded are the states of a model, adapter or version.
	Loaded   State = "loaded"
	Unloaded State = "unloaded"
	// Assumed means that the engine has the named role.
	Assumed State = "assumed"
)

// DesiredState returns the state that commands of a kind establish, or "" for
// an unknown kind.
func DesiredState(k Kind) State {
	return map[Kind]State{KindLoad: Loaded, KindUnload: Unloaded, KindRole: Assumed}[k]
}

// Status is the progress of a command.
type Status string

// Statuses of a command.
const (
	// Pending means that the command was not sent yet, or that its effect was
	// lost and it must be sent again.
	Pending Status = "pending"
	// Sent means that the command may have reached the engine, whose state does
	// not show the effect yet.
	Sent Status = "sent"
	// Applied means that the engine's state shows the effect.
	Applied Status = "applied"
	// Failed means that the command is not retried.
	Failed Status = "failed"
)

// Command is one control command to one backend server, identified by ID and
// Backend together.
type Command struct {
	ID      string `json:"id"`
	Kind    Kind   `json:"kind"`
	Name    string `json:"name"`
	Backend string `json:"backend"`
	Desired State  `json:"desired"`
	Status  Status `json:"status"`
	// FencingToken is the fencing token with which the command was last sent;
	// 0 means that it was never sent.
	FencingToken uint64 `json:"fencing_number,omitempty"`
	// Detail is the reason for the status, for operators.
	Detail string `json:"detail,omitempty"`
}

// Finished reports whether the command was applied or has failed, so that it
// need not be sent.
func (c *Command) Finished() bool { return c.Status == Applied || c.Status == Failed }

// Document is the value of the object issuer/<service>. The fencing token
// increases with each new holder, the renewal count with each write of a
// holder.
type Document struct {
	Version      int    `json:"version"`
	Holder       string `json:"holder"`
	FencingToken uint64 `json:"fencing_number"`
	RenewalCount uint64 `json:"beat"`
	// Commands are in order of acceptance.
	Commands []Command `json:"commands"`
}

// Empty returns the document of a service that never had an issuer.
func Empty() *Document { return &Document{Version: documentVersion, Commands: []Command{}} }

var (
	namePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._/:-]{0,126}(@[a-zA-Z0-9._-]{1,64})?$`)
	idPattern   = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._:-]{0,127}$`)
)

// SplitName returns the model or adapter and the version of a name such as
// "caption@7"; the version is "latest" if the name has none.
func SplitName(name string) (model, version string) {
	model, version, ok := strings.Cut(name, "@")
	if !ok {
		version = "latest"
	}
	return model, version
}

func (c *Command) validate() error {
	switch {
	case !idPattern.MatchString(c.ID):
		return Error.New("id %.140q is not 1 to 128 letters, digits, dots, colons, dashes or underscores", c.ID)
	case DesiredState(c.Kind) == "" || c.Desired != DesiredState(c.Kind):
		return Error.New("kind %.40q with desired state %.40q is none of load, unload and role", c.Kind, c.Desired)
	case !namePattern.MatchString(c.Name):
		return Error.New("name %.200q is not NAME or NAME@VERSION", c.Name)
	case !idPattern.MatchString(c.Backend):
		return Error.New("backend server id %.140q is malformed", c.Backend)
	case !slices.Contains([]Status{Pending, Sent, Applied, Failed}, c.Status):
		return Error.New("unknown status %.40q", c.Status)
	case len(c.Detail) > MaxDetailBytes || !utf8.ValidString(c.Detail):
		return Error.New("detail is longer than the limit or not valid UTF-8")
	}
	return nil
}

// Encode returns the document as JSON, or ErrFull if it exceeds
// MaxDocumentBytes.
func (d *Document) Encode() ([]byte, error) {
	raw, err := json.Marshal(d)
	if err == nil && len(raw) > MaxDocumentBytes {
		return nil, ErrFull
	}
	return raw, Error.Wrap(err)
}

// Decode decodes a document. Unknown fields, another version, trailing data and
// malformed or repeated commands are errors, since the next write would drop a
// command that was not decoded.
func Decode(raw []byte) (*Document, error) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	var d Document
	if err := dec.Decode(&d); err != nil {
		return nil, Error.Wrap(err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return nil, Error.New("data after the JSON value")
	}
	if d.Version != documentVersion || d.Commands == nil || len(d.Commands) > MaxCommands {
		return nil, Error.New("version %d with %d commands, want version %d with a list of at most %d", d.Version, len(d.Commands), documentVersion, MaxCommands)
	}
	if d.FencingToken == 0 && d.Holder != "" {
		return nil, Error.New("holder %.140q has no fencing token", d.Holder)
	}
	seen := map[[2]string]bool{}
	for i := range d.Commands {
		c := &d.Commands[i]
		if err := c.validate(); err != nil {
			return nil, err
		}
		if seen[[2]string{c.ID, c.Backend}] {
			return nil, Error.New("command %q for %q is listed twice", c.ID, c.Backend)
		}
		seen[[2]string{c.ID, c.Backend}] = true
	}
	return &d, nil
}

func (d *Document) clone() *Document {
	next := *d
	next.Commands = append([]Command{}, d.Commands...)
	return &next
}

// Request is an operator's control command to one or more backend servers.
type Request struct {
	ID       string   `json:"id"`
	Kind     Kind     `json:"kind"`
	Name     string   `json:"name"`
	Backends []string `json:"backends,omitempty"`
}

// Find returns the commands that were accepted with the id, one per backend
// server.
func (d *Document) Find(id string) []Command {
	var found []Command
	for _, c := range d.Commands {
		if c.ID == id {
			found = append(found, c)
		}
	}
	return found
}

// AlreadyAccepted reports whether the request was accepted before. A request
// that names no backend servers matches any set of them. It returns ErrIDReused
// if the id belongs to a different command.
func (d *Document) AlreadyAccepted(r Request) (bool, error) {
	found := d.Find(r.ID)
	for _, c := range found {
		if c.Kind != r.Kind || c.Name != r.Name {
			return false, ErrIDReused
		}
	}
	if len(found) == 0 {
		return false, nil
	}
	for _, b := range r.Backends {
		if !slices.ContainsFunc(found, func(c Command) bool { return c.Backend == b }) {
			return false, ErrIDReused
		}
	}
	return true, nil
}

// Submit returns the document with one pending command per backend server of
// the request. The caller must have checked AlreadyAccepted. It returns ErrFull
// if there are too many commands.
func (d *Document) Submit(r Request) (*Document, error) {
	if len(r.Backends) == 0 {
		return nil, Error.New("request names no backend server")
	}
	next := d.clone()
	for _, b := range slices.Compact(slices.Sorted(slices.Values(r.Backends))) {
		c := Command{ID: r.ID, Kind: r.Kind, Name: r.Name, Backend: b, Desired: DesiredState(r.Kind), Status: Pending}
		if err := c.validate(); err != nil {
			return nil, err
		}
		next.Commands = append(next.Commands, c)
	}
	next.trim()
	if len(next.Commands) > MaxCommands {
		return nil, ErrFull
	}
	return next, nil
}

// trim removes the oldest finished commands beyond RetainedFinished that no
// longer define a desired state.
func (d *Document) trim() {
	last := d.lastPerTarget()
	kept := 0
	for i := len(d.Commands) - 1; i >= 0; i-- {
		c := &d.Commands[i]
		if !c.Finished() || last[c.target()] == i {
			continue
		}
		if kept++; kept > RetainedFinished {
			d.Commands = slices.Delete(d.Commands, i, i+1)
		}
	}
}
