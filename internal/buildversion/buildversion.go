// Package buildversion reports which build of the program is running.
package buildversion

import (
	"runtime"
	"runtime/debug"
)

// Info identifies a build of the program.
type Info struct {
	Version  string `json:"version"`            // of the Go module, "unknown" if it was not recorded
	Revision string `json:"revision,omitempty"` // commit that was built, if known
	Modified bool   `json:"modified"`           // the checkout had uncommitted changes
	Go       string `json:"go"`                 // version of the Go toolchain
}

// Read returns what the Go toolchain recorded in the running program.
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
