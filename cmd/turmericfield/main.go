// Command turmericfield runs the global traffic steering system: its instances, the
// operators' client, stand-ins for the platform and the targets, and tools that
// load and measure the system.
package main

import (
	"os"

	"github.com/turmericfield/turmericfield/internal/command"
)

func main() { os.Exit(command.Main()) }
