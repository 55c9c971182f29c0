package config

import (
	"bytes"
	"strconv"
	"strings"
)

// SetJSONPlaces sets the file of each finding, and its line from its path in the JSON
// text, which must be valid. Names of fields match as encoding/json matches them. The
// line is that of the deepest value on the path that exists.
func SetJSONPlaces(file string, text []byte, findings Findings) {
	if len(findings) == 0 {
		return
	}
	root := &wantedValue{}
	leaves := make([]*wantedValue, len(findings))
	for i := range findings {
		leaves[i] = root
		for _, part := range jsonPathParts(findings[i].Path) {
			leaves[i] = leaves[i].child(part)
		}
	}
	s := jsonScanner{text: text, line: 1}
	s.value(root)
	for i := range findings {
		findings[i].File = file
		for v := leaves[i]; v != nil; v = v.parent {
			if v.line > 0 {
				findings[i].Line = v.line
				break
			}
		}
	}
}

// jsonPathParts splits a path such as resources[2].spec.prefix into names and indexes.
func jsonPathParts(path string) []string {
	return strings.FieldsFunc(path, func(c rune) bool { return c == '.' || c == '[' || c == ']' })
}

// wantedValue is a value of a JSON text whose line, or that of a value in it, is wanted.
type wantedValue struct {
	parent *wantedValue
	part   string // index or name in lower case, in the parent
	line   int    // 0 if the value is not in the text
	// Most values have few wanted values in them, which are a list. From maxListed on
	// they are a map as well.
	children []*wantedValue
	byPart   map[string]*wantedValue
}

const maxListed = 8

// child returns the wanted value at a name or index, which it adds if needed.
func (v *wantedValue) child(part string) *wantedValue {
	if c := v.at(part); c != nil {
		return c
	}
	c := &wantedValue{parent: v, part: strings.ToLower(part)}
	v.children = append(v.children, c)
	switch {
	case len(v.children) == maxListed:
		v.byPart = map[string]*wantedValue{}
		for _, c := range v.children {
			v.byPart[c.part] = c
		}
	case len(v.children) > maxListed:
		v.byPart[c.part] = c
	}
	return c
}

// at returns the wanted value at a name or index, or nil. v may be nil.
func (v *wantedValue) at(part string) *wantedValue {
	if v == nil || len(v.children) == 0 {
		return nil
	}
	part = strings.ToLower(part)
	if v.byPart != nil {
		return v.byPart[part]
	}
	for _, c := range v.children {
		if c.part == part {
			return c
		}
	}
	return nil
}

// jsonScanner walks over a JSON text once and notes the lines of wanted values.
type jsonScanner struct {
	text []byte
	line int
}

// skip drops n bytes of the text and counts their lines.
func (s *jsonScanner) skip(n int) {
	s.line += bytes.Count(s.text[:n], []byte("\n"))
	s.text = s.text[n:]
}

// next drops white space, commas and colons, and returns the next byte without dropping
// it, or 0 at the end.
func (s *jsonScanner) next() byte {
	n := 0
	for n < len(s.text) && strings.IndexByte(" \t\r\n,:", s.text[n]) >= 0 {
		n++
	}
	s.skip(n)
	if len(s.text) == 0 {
		return 0
	}
	return s.text[0]
}

// value walks over one value. wanted is nil if neither its line nor those of the values
// in it are.
func (s *jsonScanner) value(wanted *wantedValue) {
	opening := s.next()
	if wanted != nil {
		wanted.line = s.line
	}
	switch opening {
	case 0:
	case '{', '[':
		s.container(wanted, opening == '[')
	case '"':
		s.string()
	default:
		n := bytes.IndexAny(s.text, ",]} \t\r\n")
		if n < 0 {
			n = len(s.text)
		}
		s.skip(max(n, 1))
	}
}

// container walks over an object or, if indexed, an array.
func (s *jsonScanner) container(wanted *wantedValue, indexed bool) {
	if wanted == nil || len(wanted.children) == 0 {
		s.skipContainer()
		return
	}
	s.skip(1)
	for i := 0; ; i++ {
		switch s.next() {
		case 0:
			return
		case '}', ']':
			s.skip(1)
			return
		}
		part := strconv.Itoa(i)
		if !indexed {
			part = string(s.string())
		}
		s.value(wanted.at(part))
	}
}

// skipContainer drops an object or array.
func (s *jsonScanner) skipContainer() {
	depth := 0
	for n := 0; n < len(s.text); n++ {
		switch s.text[n] {
		case '"':
			n += stringLength(s.text[n:]) - 1
		case '{', '[':
			depth++
		case '}', ']':
			if depth--; depth == 0 {
				s.skip(n + 1)
				return
			}
		}
	}
	s.skip(len(s.text))
}

// string drops a string and returns what is between its quotes.
func (s *jsonScanner) string() []byte {
	text := s.text[:stringLength(s.text)]
	s.skip(len(text))
	return bytes.Trim(text, `"`)
}

// stringLength returns the length of the JSON string at the begin of the text, with its
// quotes.
func stringLength(text []byte) int {
	for n := 1; n < len(text); n++ {
		switch text[n] {
		case '\\':
			n++
		case '"':
			return n + 1
		}
	}
	return len(text)
}
