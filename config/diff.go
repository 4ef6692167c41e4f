package config

import (
	"fmt"
	"reflect"
	"strings"
)

// ChangeKind is the way in which an entry was changed.
type ChangeKind string

// The kinds of change.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is the difference of one entry between two configurations.
type Change struct {
	Change ChangeKind    `json:"change"`
	Kind   Kind          `json:"kind"`
	Name   string        `json:"name"`
	Fields []FieldChange `json:"fields,omitempty"`
}

// FieldChange is the difference of one field.
type FieldChange struct {
	Field  string `json:"field"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// String returns the change on one line.
func (c Change) String() string {
	parts := make([]string, len(c.Fields))
	for i, f := range c.Fields {
		parts[i] = fmt.Sprintf(" %s: %s -> %s", f.Field, f.Before, f.After)
	}
	return fmt.Sprintf("%s %s %q%s", c.Change, c.Kind, c.Name, strings.Join(parts, ","))
}

// Diff returns the changes from before to after, by kind and within a kind in
// the order of the lists, with removed entries last.
func Diff(before, after Config) []Change {
	var d differ
	visitKinds(before, after, &d)
	return d.changes
}

// differ collects the changes of all kinds. It implements kindVisitor.
type differ struct{ changes []Change }

func (d *differ) visitKind(kind Kind, before, after []entry) {
	unmatched := make(map[string]entry, len(before))
	for _, e := range before {
		unmatched[e.name()] = e
	}
	for _, e := range after {
		previous, existed := unmatched[e.name()]
		delete(unmatched, e.name())
		if !existed {
			d.changes = append(d.changes, Change{Change: Added, Kind: kind, Name: e.name()})
			continue
		}
		if fields := diffFields(previous, e); len(fields) > 0 {
			d.changes = append(d.changes, Change{Changed, kind, e.name(), fields})
		}
	}
	for _, e := range before {
		if _, removed := unmatched[e.name()]; removed {
			d.changes = append(d.changes, Change{Change: Removed, Kind: kind, Name: e.name()})
		}
	}
}

func diffFields(before, after entry) []FieldChange {
	a, b := reflect.ValueOf(before), reflect.ValueOf(after)
	var changes []FieldChange
	for i := range a.NumField() {
		x, y := a.Field(i).Interface(), b.Field(i).Interface()
		if !reflect.DeepEqual(x, y) {
			field := a.Type().Field(i).Tag.Get("yaml")
			changes = append(changes, FieldChange{field, fmt.Sprint(x), fmt.Sprint(y)})
		}
	}
	return changes
}
