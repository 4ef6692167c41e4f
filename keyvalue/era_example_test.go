package keyvalue_test

import (
	"fmt"

	"hawthornway/keyvalue"
)

// The store returns from an older copy and gives out a revision again.
func ExampleEra_Position() {
	before, after := keyvalue.Era(1).Position(500), keyvalue.Era(2).Position(490)
	fmt.Println(before < after, keyvalue.EraOf(before), keyvalue.EraOf(after))
	// Output: true 1 2
}
