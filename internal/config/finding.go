package config

import (
	"strconv"
	"strings"
)

// Severity is how much a finding matters.
type Severity string

// Severities. An error makes a configuration unusable; a warning names something in a
// valid configuration that has no effect or contradicts something else; a difference is
// a change against another configuration.
const (
	SeverityError      Severity = "error"
	SeverityWarning    Severity = "warning"
	SeverityDifference Severity = "difference"
)

// Names of errors of a configuration. They do not change between versions.
const (
	NameSyntax           = "syntax"            // no YAML or JSON, an unknown field or a wrong type
	NameTooLarge         = "too-large"         // the file
	NameMalformed        = "malformed"         // a value without the form that it must have
	NameDuplicate        = "duplicate"         // a name, address or key that must be unique
	NameMissing          = "missing"           // a required value
	NameUnknownReference = "unknown-reference" // the name of something that is not defined
	NameUnknownValue     = "unknown-value"     // none of the values that are allowed
	NameOutOfRange       = "out-of-range"      // a number
)

// ErrorNames returns the names of all errors of a configuration.
func ErrorNames() []string {
	return []string{NameSyntax, NameTooLarge, NameMalformed, NameDuplicate, NameMissing, NameUnknownReference, NameUnknownValue, NameOutOfRange}
}

// Finding is one fault of a configuration or of another file, with its place.
type Finding struct {
	// Name is the kind of the finding. Only findings of configurations have one.
	Name     string   `json:"name,omitempty"`
	Severity Severity `json:"severity,omitempty"`
	// Group says what callers notice of a difference.
	Group string `json:"group,omitempty"`
	File  string `json:"file,omitempty"`
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
		place = strconv.Itoa(f.Line) + ": " + f.Path
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
