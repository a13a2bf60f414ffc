// Package fixed makes randomized tests reproducible.
package fixed

import (
	"flag"
	"os"
	"testing"
)

// Main runs m with a fixed seed for package rapid, unless the command line sets
// one, and with the given number of steps per state machine test.
func Main(m *testing.M, steps string) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261204") // flag defined by package rapid
	}
	_ = flag.Set("rapid.steps", steps)
	os.Exit(m.Run())
}
