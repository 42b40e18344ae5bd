// Package seed fixes the seed of property tests, so that their verdict is the
// same on every run. The flag -rapid.seed still tries others. Test files import
// it for its effect.
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
