package config

import (
	"fmt"
	"strings"
)

// Finding is one fault of a configuration or of another file, with its place.
type Finding struct {
	File string `json:"file,omitempty"`
	// Line is 1-based; 0 where the line is not known.
	Line int `json:"line,omitempty"`
	// Path names the field, such as routes[2].service. It is "file" for a fault of
	// the whole file and "yaml" for one that the YAML decoder reports.
	Path    string `json:"path"`
	Message string `json:"message"`
}

// String returns the finding on one line: file:line: path: message.
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

// Err returns the findings as an error, or nil if there are none.
func (fs Findings) Err() error {
	if len(fs) == 0 {
		return nil
	}
	return fs
}
