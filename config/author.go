package config

// Author names the operator who applied a configuration.
type Author string

// ChangeID is the idempotency key of one change: it distinguishes a retry from
// another change.
type ChangeID string
