package ctl

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"

	"monsoonkeel.example/monsoonkeel/core/config"
)

// desiredDocument is the content of a configuration file. The stored items of a
// section that the file omits are not changed.
type desiredDocument struct {
	Revision config.Revision             `json:"revision"`
	Classes  map[string]config.Class     `json:"classes"`
	Teams    map[string]config.Team      `json:"teams"`
	Services map[string]config.Service   `json:"services"`
	Domains  map[string]config.Domain    `json:"domains"`
	Drains   map[string]config.HostDrain `json:"drains"`
}

func decodeDesired(raw []byte) (*desiredDocument, error) {
	desired := &desiredDocument{}
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(desired); err != nil {
		return nil, err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("unexpected data after the configuration document")
	}
	return desired, nil
}

// difference returns the operations that change doc to match the file. An item's
// revision in the file is the one that the operator edited, so an item with
// another stored revision is a conflict.
func (desired *desiredDocument) difference(doc *config.Document, prune bool) ([]config.Op, error) {
	d := &differ{fileRevision: desired.Revision, prune: prune}
	diffSection(d, config.KindClass, doc.Classes, desired.Classes, func(v *config.Class) (*string, *config.Revision) { return &v.Name, &v.Revision })
	diffSection(d, config.KindTeam, doc.Teams, desired.Teams, func(v *config.Team) (*string, *config.Revision) { return &v.Name, &v.Revision })
	diffSection(d, config.KindService, doc.Services, desired.Services, func(v *config.Service) (*string, *config.Revision) { return &v.Name, &v.Revision })
	diffSection(d, config.KindDomain, doc.Domains, desired.Domains, func(v *config.Domain) (*string, *config.Revision) { return &v.Name, &v.Revision })
	diffSection(d, config.KindDrain, doc.Drains, desired.Drains, func(v *config.HostDrain) (*string, *config.Revision) { return &v.Name, &v.Revision })
	if d.err != nil {
		return nil, d.err
	}
	if len(d.conflicts) > 0 {
		return nil, conflictError(d.conflicts)
	}
	return d.ops, nil
}

type differ struct {
	fileRevision config.Revision
	prune        bool
	ops          []config.Op
	conflicts    []config.Conflict
	err          error
}

// diffSection adds the operations for the items of one kind. fields returns pointers
// to an item's name and revision; a missing name is taken from the map key, and the
// revision is not part of the compared value.
func diffSection[T any](d *differ, kind config.Kind, stored, desired map[string]T, fields func(*T) (*string, *config.Revision)) {
	if desired == nil {
		return
	}
	encode := func(item T, name string) (json.RawMessage, config.Revision) {
		itemName, itemRevision := fields(&item)
		base := *itemRevision
		if *itemName == "" {
			*itemName = name
		}
		*itemRevision = 0
		raw, err := json.Marshal(item)
		if err != nil {
			d.err = errors.Join(d.err, fmt.Errorf("%s %q: %w", kind, name, err))
		}
		return raw, base
	}
	for _, name := range slices.Sorted(maps.Keys(desired)) {
		value, base := encode(desired[name], name)
		storedItem, exists := stored[name]
		storedValue, storedRevision := encode(storedItem, name)
		if exists && bytes.Equal(value, storedValue) {
			continue
		}
		op := config.Op{Kind: kind, Name: name, Action: config.ActionPut, Expected: storedRevision, Value: value}
		d.add(op, base, storedRevision, storedValue)
	}
	if !d.prune {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(stored)) {
		if _, ok := desired[name]; ok {
			continue
		}
		storedValue, storedRevision := encode(stored[name], name)
		op := config.Op{Kind: kind, Name: name, Action: config.ActionDelete, Expected: storedRevision}
		base := config.Revision(0)
		if d.fileRevision != 0 && storedRevision > d.fileRevision {
			// The stored revision is newer than the file, whose author has not seen it.
			base = d.fileRevision
		}
		d.add(op, base, storedRevision, storedValue)
	}
}

// add records the operation, or a conflict if the file is based on another
// revision of the item. base is the item's revision in the file; 0 means that the
// file has none, and there is no check.
func (d *differ) add(op config.Op, base, stored config.Revision, storedValue json.RawMessage) {
	if base == 0 || base == stored {
		d.ops = append(d.ops, op)
		return
	}
	op.Expected = base
	if stored == 0 {
		storedValue = nil
	}
	d.conflicts = append(d.conflicts, config.Conflict{Attempted: op, StoredRevision: stored, Stored: storedValue})
}
