package config

import (
	"bytes"
	"fmt"
	"io"
	"regexp"
	"strconv"

	"github.com/cockroachdb/errors"
	"go.yaml.in/yaml/v3"
)

// MaxFileBytes bounds a configuration file.
const MaxFileBytes = 64 << 20

// yamlLinePattern matches the line number in messages of the YAML decoder.
var yamlLinePattern = regexp.MustCompile(`line (\d+): `)

// Parse reads a YAML configuration and validates it. The error is of type Findings.
// file is the name that the findings give.
func Parse(file string, text []byte) (*Document, error) {
	if len(text) > MaxFileBytes {
		return nil, Findings{{Name: NameTooLarge, Severity: SeverityError, File: file, Path: "file", Message: fmt.Sprintf("has %d bytes, more than %d", len(text), MaxFileBytes)}}
	}
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	decoder.KnownFields(true)
	doc := &Document{}
	var findings Findings
	if err := decoder.Decode(doc); err != nil {
		findings = decodeFindings(file, err)
		var typeErr *yaml.TypeError
		if !errors.As(err, &typeErr) {
			return nil, findings
		}
		// After a type error, the fields that could be decoded are validated as well,
		// so that all faults are reported at once.
	}
	var extra any
	if err := decoder.Decode(&extra); !errors.Is(err, io.EOF) {
		return nil, append(findings, Finding{Name: NameSyntax, Severity: SeverityError, File: file, Path: "file", Message: "holds more than one YAML document"})
	}
	invalid := Validate(doc)
	if len(invalid) == 0 && len(findings) == 0 {
		return doc, nil
	}
	SetYAMLPlaces(file, text, invalid)
	return nil, append(findings, invalid...)
}

// SetYAMLPlaces sets the file of each finding, and its line from its path in the YAML
// text.
func SetYAMLPlaces(file string, text []byte, findings Findings) {
	if len(findings) == 0 {
		return
	}
	var root yaml.Node
	err := yaml.Unmarshal(text, &root)
	for i := range findings {
		findings[i].File = file
		if err == nil {
			findings[i].Line = lineOf(&root, findings[i].Path)
		}
	}
}

// decodeFindings returns the findings of an error of the YAML decoder.
func decodeFindings(file string, err error) Findings {
	if errors.Is(err, io.EOF) {
		return Findings{{Name: NameSyntax, Severity: SeverityError, File: file, Path: "file", Message: "is empty"}}
	}
	messages := []string{err.Error()}
	var typeErr *yaml.TypeError
	if errors.As(err, &typeErr) {
		messages = typeErr.Errors
	}
	findings := make(Findings, 0, len(messages))
	for _, message := range messages {
		f := Finding{Name: NameSyntax, Severity: SeverityError, File: file, Path: "yaml", Message: message}
		if m := yamlLinePattern.FindStringSubmatch(message); m != nil {
			f.Line, _ = strconv.Atoi(m[1])
			f.Message = yamlLinePattern.ReplaceAllString(message, "")
		}
		findings = append(findings, f)
	}
	return findings
}

// pathPartPattern matches one part of Finding.Path: a field name or an index.
var pathPartPattern = regexp.MustCompile(`([a-z0-9_]+)|\[(\d+)\]`)

// lineOf returns the line of the node at a path, or else that of the deepest node on
// the path that exists.
func lineOf(node *yaml.Node, path string) int {
	if node.Kind == yaml.DocumentNode && len(node.Content) > 0 {
		node = node.Content[0]
	}
	for _, part := range pathPartPattern.FindAllStringSubmatch(path, -1) {
		next := childNode(node, part[1], part[2])
		if next == nil {
			return node.Line
		}
		node = next
	}
	return node.Line
}

// childNode returns the node at an index of a sequence if index is not empty, else
// that of a field of a mapping. It returns nil if there is none.
func childNode(node *yaml.Node, field, index string) *yaml.Node {
	if index != "" {
		i, err := strconv.Atoi(index)
		if err != nil || node.Kind != yaml.SequenceNode || i >= len(node.Content) {
			return nil
		}
		return node.Content[i]
	}
	if node.Kind != yaml.MappingNode {
		return nil
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		if node.Content[i].Value == field {
			return node.Content[i+1]
		}
	}
	return nil
}
