package quota

import "errors"

// errLedgerUnavailable is returned instead of calling a ledger that has just failed to
// answer.
var errLedgerUnavailable = errors.New("ledger is unavailable: a recent call failed")
