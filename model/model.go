// Package model names models, their adapters and their versions.
package model

// Name names a model or an adapter, as callers write it.
type Name string

// Version names one set of weights of a model or an adapter.
type Version string

// Bytes is an amount of accelerator memory.
type Bytes int64

// Ref is one version of a model or an adapter. Base is empty for a model and
// names the model under an adapter.
type Ref struct {
	Name    Name
	Version Version
	Base    Name
}

// IsAdapter reports whether the reference names an adapter.
func (r Ref) IsAdapter() bool { return r.Base != "" }
