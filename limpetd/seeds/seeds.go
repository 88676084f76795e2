// Package seeds fixes the seed of property tests, so that each run of the gate
// gives the same verdict.
//
// # Usage
//
// Import it for its effect in the tests of a package:
//
//	import _ "github.com/limpetlb/limpetlb/limpetd/seeds"
//
// Other seeds are tried by hand: go test ./limpetd/route -rapid.seed=7.
package seeds

import (
	"flag"

	// Rapid registers its flags.
	_ "pgregory.net/rapid"
)

// fixed is the seed of the gate.
const fixed = "1"

func init() {
	if err := flag.Set("rapid.seed", fixed); err != nil {
		panic(err)
	}
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		panic(err)
	}
}
