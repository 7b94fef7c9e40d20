package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
)

// section provides uniform access to the items of one kind.
type section struct {
	get    func(*Document, string) (Revision, json.RawMessage)
	put    func(*Document, string, json.RawMessage) error
	remove func(*Document, string)
}

var sections = map[Kind]section{
	KindClass: newSection(func(d *Document) map[string]Class { return d.Classes },
		func(v *Class) (*string, *Revision) { return &v.Name, &v.Revision }),
	KindTeam: newSection(func(d *Document) map[string]Team { return d.Teams },
		func(v *Team) (*string, *Revision) { return &v.Name, &v.Revision }),
	KindService: newSection(func(d *Document) map[string]Service { return d.Services },
		func(v *Service) (*string, *Revision) { return &v.Name, &v.Revision }),
	KindDomain: newSection(func(d *Document) map[string]Domain { return d.Domains },
		func(v *Domain) (*string, *Revision) { return &v.Name, &v.Revision }),
	KindDrain: newSection(func(d *Document) map[string]HostDrain { return d.Drains },
		func(v *HostDrain) (*string, *Revision) { return &v.Name, &v.Revision }),
}

func newSection[T any](items func(*Document) map[string]T, fields func(*T) (*string, *Revision)) section {
	return section{
		get: func(d *Document, name string) (Revision, json.RawMessage) {
			item, ok := items(d)[name]
			if !ok {
				return 0, nil
			}
			_, revision := fields(&item)
			raw, err := json.Marshal(item)
			if err != nil {
				return *revision, nil
			}
			return *revision, raw
		},
		put: func(d *Document, name string, value json.RawMessage) error {
			if len(value) == 0 || string(value) == "null" {
				return errors.New("put requires a value")
			}
			var item T
			if err := decodeStrict(value, &item); err != nil {
				return err
			}
			itemName, revision := fields(&item)
			if *itemName != "" && *itemName != name {
				return fmt.Errorf("value has the different name %q", *itemName)
			}
			*itemName, *revision = name, d.Revision
			items(d)[name] = item
			return nil
		},
		remove: func(d *Document, name string) { delete(items(d), name) },
	}
}

// Item returns the revision and the JSON encoding of an item; revision 0 means
// that it does not exist.
func (d *Document) Item(kind Kind, name string) (Revision, json.RawMessage) {
	s, ok := sections[kind]
	if !ok {
		return 0, nil
	}
	return s.get(d, name)
}

// clone copies the document and its maps. Items are shared, since they are
// replaced and never modified.
func (d *Document) clone() *Document {
	c := &Document{
		Revision: d.Revision,
		Classes:  maps.Clone(d.Classes),
		Teams:    maps.Clone(d.Teams),
		Services: maps.Clone(d.Services),
		Domains:  maps.Clone(d.Domains),
		Drains:   maps.Clone(d.Drains),
	}
	c.fillMaps()
	return c
}

func (d *Document) fillMaps() {
	empty := Empty()
	if d.Classes == nil {
		d.Classes = empty.Classes
	}
	if d.Teams == nil {
		d.Teams = empty.Teams
	}
	if d.Services == nil {
		d.Services = empty.Services
	}
	if d.Domains == nil {
		d.Domains = empty.Domains
	}
	if d.Drains == nil {
		d.Drains = empty.Drains
	}
}
