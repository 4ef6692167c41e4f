package config

// Author names the operator who applied a configuration.
type Author string

// ChangeID names one apply, so that a repeat is told from another change.
type ChangeID string
