// Package fixed makes randomised tests give the same verdict on every run.
package fixed

import (
	"flag"
	"os"
	"testing"
)

// Main runs m with a fixed seed for the stateful fuzzer, unless the command
// line names one, and with steps commands a sequence.
func Main(m *testing.M, steps string) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261204") // a flag that package rapid defines
	}
	_ = flag.Set("rapid.steps", steps)
	os.Exit(m.Run())
}
