// Package seed sets the seed of property tests to a fixed value, so that their
// results are reproducible. The flag -rapid.seed overrides it. Test files import
// the package for its side effect.
package seed

import (
	"flag"

	_ "pgregory.net/rapid" // defines the flag
)

func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
