package ctl

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/google/uuid"

	"monsoonkeel.example/monsoonkeel/core/config"
)

// result is the output of an accepted change.
type result struct {
	Accepted bool            `json:"accepted"`
	Revision config.Revision `json:"revision"`
	ChangeID string          `json:"change_id"`
	// Key is a newly created team key.
	Key string `json:"key,omitempty"`
}

// document reads the configuration strictly: a tool that does not know a field
// would drop it when it writes the item back.
func (t *tool) document() (*config.Document, error) {
	var raw json.RawMessage
	if err := t.client.get("config", &raw); err != nil {
		return nil, err
	}
	doc, err := config.DecodeDocument(raw)
	if err != nil {
		return nil, refusedError("the daemon's configuration is not readable by this version: %w", err)
	}
	return doc, nil
}

func putOp(kind config.Kind, name string, expected config.Revision, item any) (config.Op, error) {
	raw, err := json.Marshal(item)
	return config.Op{Kind: kind, Name: name, Action: config.ActionPut, Expected: expected, Value: raw}, err
}

// put submits one item.
func (t *tool) put(kind config.Kind, name string, expected config.Revision, item any) error {
	op, err := putOp(kind, name, expected, item)
	if err != nil {
		return err
	}
	return t.submit("", op)
}

// remove deletes one item at the revision it has now.
func (t *tool) remove(kind config.Kind, name string) error {
	doc, err := t.document()
	if err != nil {
		return err
	}
	revision, _ := doc.Item(kind, name)
	if revision == 0 {
		return refusedError("%s %q does not exist", kind, name)
	}
	return t.submit("", config.Op{Kind: kind, Name: name, Action: config.ActionDelete, Expected: revision})
}

// submit sends a change and prints "accepted" once it is durable. A key is
// printed also when the outcome is unknown, since it exists nowhere else.
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
	return t.printAccepted(result{Accepted: true, Revision: revision, ChangeID: id, Key: key})
}

func (t *tool) printAccepted(r result) error {
	if t.json {
		return t.printJSON(r)
	}
	fmt.Fprintf(t.out, "accepted: revision %d, change %s\n", r.Revision, r.ChangeID)
	if r.Key != "" {
		fmt.Fprintf(t.out, "key (shown only once): %s\n", r.Key)
	}
	return nil
}

// lookup returns an item or a refusal.
func lookup[T any](items map[string]T, kind config.Kind, name string) (T, error) {
	item, ok := items[name]
	if !ok {
		return item, refusedError("%s %q does not exist", kind, name)
	}
	return item, nil
}
