// Command turmericfield is the global traffic steering system: its instances,
// its operators' client, and the stand-ins and tools around them.
package main

import (
	"os"

	"github.com/turmericfield/turmericfield/internal/command"
)

func main() { os.Exit(command.Main()) }
