// Package issuer decides which daemon sends control commands to the model
// engines of a service, and which command it sends next. Control commands load
// or unload a model, an adapter or a version, or change an engine's role.
//
// The package is pure: it reads no clock and no random source.
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
	// MaxCommands bounds the commands of a document.
	MaxCommands = 1024
	// MaxDocumentBytes bounds an encoded document, below the object API's 1 MB.
	MaxDocumentBytes = 768 << 10
	// RetainedFinished is the number of finished commands whose ids are remembered
	// beyond those that still state an engine's desired state.
	RetainedFinished = 256
	// MaxDetailBytes bounds the reason stored with a command.
	MaxDetailBytes = 160

	documentVersion = 1
)

// Error is the class of malformed documents and commands.
var Error = errs.Class("issuer")

// Errors of Submit.
var (
	// ErrFull means that too many commands wait or are remembered.
	ErrFull = Error.New("the command list is full")
	// ErrIDReused means that another command was accepted with the same id.
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

// State is what a command wants to be true of its name at the engine.
type State string

// Desired states.
const (
	// Loaded and Unloaded are the states of a model, adapter or version.
	Loaded   State = "loaded"
	Unloaded State = "unloaded"
	// Assumed means that the engine has the named role.
	Assumed State = "assumed"
)

// DesiredState returns the state that a kind asks for, or "" for an unknown kind.
func DesiredState(k Kind) State {
	return map[Kind]State{KindLoad: Loaded, KindUnload: Unloaded, KindRole: Assumed}[k]
}

// Status says how far a command is.
type Status string

// Statuses of a command.
const (
	// Pending was not sent, or its effect was lost and it must be sent again.
	Pending Status = "pending"
	// Sent may have reached the engine; the engine has not shown its effect yet.
	Sent Status = "sent"
	// Applied was seen in the engine's state.
	Applied Status = "applied"
	// Failed is not tried again.
	Failed Status = "failed"
)

// Command is one control command to one backend server. ID and Backend
// together identify it.
type Command struct {
	ID      string `json:"id"`
	Kind    Kind   `json:"kind"`
	Name    string `json:"name"`
	Backend string `json:"backend"`
	Desired State  `json:"desired"`
	Status  Status `json:"status"`
	// FencingNumber is the number under which the command was last sent; 0
	// means never.
	FencingNumber uint64 `json:"fencing_number,omitempty"`
	// Detail is the reason of the status, for operators.
	Detail string `json:"detail,omitempty"`
}

// Finished says that nothing remains to be sent.
func (c *Command) Finished() bool { return c.Status == Applied || c.Status == Failed }

// Document is the value of issuer/<service>. The fencing number grows with each
// holder and the beat with each of a holder's writes.
type Document struct {
	Version       int    `json:"version"`
	Holder        string `json:"holder"`
	FencingNumber uint64 `json:"fencing_number"`
	RenewalCount  uint64 `json:"beat"`
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
// "caption@7"; without a version it is "latest".
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
		return Error.New("malformed detail")
	}
	return nil
}

// Encode returns the document as JSON.
func (d *Document) Encode() ([]byte, error) {
	raw, err := json.Marshal(d)
	if err == nil && len(raw) > MaxDocumentBytes {
		return nil, ErrFull
	}
	return raw, Error.Wrap(err)
}

// Decode reads a document. Unknown fields, another version, trailing data and
// malformed or repeated commands are refused, since a command that is not
// understood would be lost by the next write.
func Decode(raw []byte) (*Document, error) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	var d Document
	if err := dec.Decode(&d); err != nil {
		return nil, Error.Wrap(err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return nil, Error.New("trailing data")
	}
	if d.Version != documentVersion || d.Commands == nil || len(d.Commands) > MaxCommands {
		return nil, Error.New("version %d with %d commands, want version %d with a list of at most %d", d.Version, len(d.Commands), documentVersion, MaxCommands)
	}
	if d.FencingNumber == 0 && d.Holder != "" {
		return nil, Error.New("holder %.140q without a fencing number", d.Holder)
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

// Request is an operator's command to one or more backend servers.
type Request struct {
	ID       string   `json:"id"`
	Kind     Kind     `json:"kind"`
	Name     string   `json:"name"`
	Backends []string `json:"backends,omitempty"`
}

// Find returns the commands accepted with the id.
func (d *Document) Find(id string) []Command {
	var found []Command
	for _, c := range d.Commands {
		if c.ID == id {
			found = append(found, c)
		}
	}
	return found
}

// AlreadyAccepted says that the request was accepted before, perhaps for another set
// of backend servers when it named none. It returns ErrReused if its id
// belongs to another command.
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
// the request. The caller has checked Recorded.
func (d *Document) Submit(r Request) (*Document, error) {
	if len(r.Backends) == 0 {
		return nil, Error.New("no backend server is named")
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

// trim removes the oldest finished commands that no longer state a desired state.
func (d *Document) trim() {
	last := d.last()
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
