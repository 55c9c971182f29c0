package intent

import (
	"flag"
	"os"
	"testing"
)

// TestMain gives the randomised tests a fixed seed unless one is set.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}
