package config

import (
	"fmt"
	"strings"
)

// Finding is one fault of a configuration, with its place.
type Finding struct {
	File string `json:"file,omitempty"`
	// Line is 1-based; 0 where the line is not known.
	Line int `json:"line,omitempty"`
	// Path names the field, such as routes[2].service.
	Path    string `json:"path"`
	Message string `json:"message"`
}

// String renders the finding on one line.
func (f Finding) String() string {
	place := f.Path
	if f.Line > 0 {
		place = fmt.Sprintf("%d: %s", f.Line, f.Path)
	}
	if f.File != "" {
		place = f.File + ":" + place
	}
	return place + ": " + f.Message
}

// Findings is an error that reports every fault at once.
type Findings []Finding

// Error implements error with one line for each finding.
func (fs Findings) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns nil if there is no finding.
func (fs Findings) Err() error {
	if len(fs) == 0 {
		return nil
	}
	return fs
}
