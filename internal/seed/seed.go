package seed

import "flag"

// defaultSeed is the seed of rapid, the library for property-based tests, unless the command line sets one.
const defaultSeed = "20261203"

// Fix parses the command line and sets the seed of rapid unless -rapid.seed is given. TestMain calls it before the tests run.
func Fix() {
	flag.Parse()
	if seedFlag := flag.Lookup("rapid.seed"); seedFlag != nil && seedFlag.Value.String() == "0" {
		_ = flag.Set("rapid.seed", defaultSeed)
	}
}
