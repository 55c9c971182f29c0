// Package buildversion tells which build of the program is running.
package buildversion

import (
	"runtime"
	"runtime/debug"
)

// Info tells which build a program is.
type Info struct {
	Version  string `json:"version"`
	Revision string `json:"revision,omitempty"` // of the source, if it was built in a checkout
	Modified bool   `json:"modified"`           // the checkout held changes that were not committed
	Go       string `json:"go"`
}

// Read returns what the Go toolchain recorded in this program.
func Read() Info {
	result := Info{Version: "unknown", Go: runtime.Version()}
	build, ok := debug.ReadBuildInfo()
	if !ok {
		return result
	}
	result.Version = build.Main.Version
	for _, setting := range build.Settings {
		switch setting.Key {
		case "vcs.revision":
			result.Revision = setting.Value
		case "vcs.modified":
			result.Modified = setting.Value == "true"
		}
	}
	return result
}
