// Package fair orders waiting requests by what each team is owed.
package fair
