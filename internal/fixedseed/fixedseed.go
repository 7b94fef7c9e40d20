// Package fixedseed makes property tests use one seed, so that CI gives the
// same verdict every run. Import it for its side effect from a test file; the
// flag -rapid.seed still overrides it.
package fixedseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag
)

func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
