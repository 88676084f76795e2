// Package seeds sets a fixed seed for property tests, so that each CI run generates the same
// cases and has the same result.
//
// # Usage
//
// Import the package for its side effect in the tests of a package:
//
//	import _ "github.com/limpetlb/limpetlb/limpetd/seeds"
//
// To try another seed, set the flag: go test ./limpetd/route -rapid.seed=7.
package seeds

import (
	"flag"

	// Registers the flags that init sets.
	_ "pgregory.net/rapid"
)

// defaultSeed is the seed of CI runs, and of each run that does not set -rapid.seed.
const defaultSeed = "1"

func init() {
	if err := flag.Set("rapid.seed", defaultSeed); err != nil {
		panic(err)
	}
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		panic(err)
	}
}
