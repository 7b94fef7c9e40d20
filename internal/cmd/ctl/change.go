package ctl

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/google/uuid"

	"monsoonkeel.example/monsoonkeel/core/config"
)

// changeResult is the output of a command whose change was accepted.
type changeResult struct {
	Accepted bool            `json:"accepted"`
	Revision config.Revision `json:"revision"`
	ChangeID string          `json:"change_id"`
	// Key is a newly created team key in clear text; it is stored only as a hash.
	Key string `json:"key,omitempty"`
}

// document reads the configuration and rejects unknown fields: an older version
// of this tool would drop them when it writes an item back.
func (t *tool) document() (*config.Document, error) {
	var raw json.RawMessage
	if err := t.client.get("config", &raw); err != nil {
		return nil, err
	}
	doc, err := config.DecodeDocument(raw)
	if err != nil {
		return nil, rejectedError("decode the daemon's configuration (unsupported by this version of monsoonkeelctl): %w", err)
	}
	return doc, nil
}

func putOp(kind config.Kind, name string, expected config.Revision, item any) (config.Op, error) {
	raw, err := json.Marshal(item)
	return config.Op{Kind: kind, Name: name, Action: config.ActionPut, Expected: expected, Value: raw}, err
}

// put submits a change that writes one item; expected is 0 for a new item.
func (t *tool) put(kind config.Kind, name string, expected config.Revision, item any) error {
	op, err := putOp(kind, name, expected, item)
	if err != nil {
		return err
	}
	return t.submit("", op)
}

// remove submits a change that deletes one item at its current revision.
func (t *tool) remove(kind config.Kind, name string) error {
	doc, err := t.document()
	if err != nil {
		return err
	}
	revision, _ := doc.Item(kind, name)
	if revision == 0 {
		return rejectedError("%s %q does not exist", kind, name)
	}
	return t.submit("", config.Op{Kind: kind, Name: name, Action: config.ActionDelete, Expected: revision})
}

// submit sends a change and prints "accepted" once it is durable. A new team key
// is also printed when the outcome is unknown, since it cannot be retrieved later.
func (t *tool) submit(key string, ops ...config.Op) error {
	id := t.changeID
	if id == "" {
		id = uuid.NewString()
	}
	revision, err := t.client.submit(config.Change{ID: id, Author: t.author, At: time.Now().UTC(), Ops: ops})
	if err != nil {
		if e, ok := err.(*exitError); ok && e.code == exitUnknown && key != "" {
			fmt.Fprintf(t.errOut, "key, valid only if the change is accepted: %s\n", key)
		}
		return err
	}
	return t.printAccepted(changeResult{Accepted: true, Revision: revision, ChangeID: id, Key: key})
}

func (t *tool) printAccepted(r changeResult) error {
	if t.json {
		return t.printJSON(r)
	}
	fmt.Fprintf(t.out, "accepted: revision %d, change %s\n", r.Revision, r.ChangeID)
	if r.Key != "" {
		fmt.Fprintf(t.out, "key (shown only once): %s\n", r.Key)
	}
	return nil
}

// lookup returns the named item, or an error with the exit code for rejected
// commands if it does not exist.
func lookup[T any](items map[string]T, kind config.Kind, name string) (T, error) {
	item, ok := items[name]
	if !ok {
		return item, rejectedError("%s %q does not exist", kind, name)
	}
	return item, nil
}
