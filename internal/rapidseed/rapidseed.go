// Package rapidseed has property tests draw the same every time.
package rapidseed

import "flag"

// Fix parses the flags, and gives rapid a seed of the project's own unless -rapid.seed asks for another. It is called
// from TestMain of a package whose tests use rapid.
func Fix() {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		if err := f.Value.Set("20261201"); err != nil {
			panic(err)
		}
	}
}
