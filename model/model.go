// Package model defines identifiers of models, their adapters and their versions.
package model

// Name is the name of a model or an adapter, as used in requests.
type Name string

// FullName returns the name of a model's adapter among those of all models.
func FullName(name, adapter Name) Name { return name + "/" + adapter }

// Version identifies one set of weights of a model or an adapter.
type Version string

// Bytes is an amount of accelerator memory.
type Bytes int64

// Ref identifies one version of a model or an adapter. Base is the base model of
// an adapter and is empty for a model.
type Ref struct {
	Name    Name
	Version Version
	Base    Name
}

// IsAdapter reports whether r refers to an adapter.
func (r Ref) IsAdapter() bool { return r.Base != "" }
