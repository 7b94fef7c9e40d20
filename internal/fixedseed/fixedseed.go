// Package fixedseed sets a fixed seed for the property tests of a package, so
// that their result in CI is reproducible. Test files import it for its side
// effect. The flag -rapid.seed overrides the seed.
package fixedseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag rapid.seed
)

func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
