package callerserver

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// errMalformed is returned for a message whose end other parsers may see elsewhere.
var errMalformed = errors.New("ambiguous framing of a request")

// section is the part of a message that the next byte belongs to.
type section int

const (
	inHead section = iota
	inBody
	inChunkSize
	inChunkData
	inChunkEnd
	inTrailer
	complete
)

// framer finds the end of one HTTP/1 request in a stream of bytes. It is stricter than
// net/http: bare line feeds, folded header lines, a Content-Length beside a
// Transfer-Encoding and chunks with HTTP/1.0 are errors, so that whatever it accepts ends
// where net/http sees the end. Errors that net/http reports itself are left to it.
type framer struct {
	section section
	line    []byte // the beginning of a line that has not been completed
	lines   int    // lines of the head before it, without leading empty ones
	left    int64  // bytes of the body or chunk that are missing

	http10     bool
	headSize   int   // bytes of the head so far
	bodySize   int64 // Content-Length; -1 if there is none
	chunked    bool
	hasCoding  bool // whether there is a Transfer-Encoding
	lastOfConn bool // whether the caller wants the connection closed after the response
	keepAlive  bool
	hosts      int // Host lines
}

// newFramer returns a framer at the beginning of a message.
func newFramer() framer { return framer{bodySize: -1} }

// begun reports whether the message has had a byte.
func (f *framer) begun() bool { return f.headSize > 0 }

// lineBegun reports whether the message has had a byte of its first line, apart from empty
// lines before it.
func (f *framer) lineBegun() bool { return f.lines > 0 || len(f.line) > 0 && f.line[0] != '\r' }

// done reports whether the message is complete.
func (f *framer) done() bool { return f.section == complete }

// hasBody reports whether the complete head announces a body.
func (f *framer) hasBody() bool { return f.chunked || f.bodySize > 0 }

// feed takes bytes of the stream and returns how many of them belong to the message.
func (f *framer) feed(p []byte) (used int, err error) {
	for used < len(p) && f.section != complete {
		switch f.section {
		case inBody, inChunkData:
			n := int(min(f.left, int64(len(p)-used)))
			f.left -= int64(n)
			used += n
			if f.left == 0 {
				if f.section == inBody {
					f.section = complete
				} else {
					f.section = inChunkEnd
				}
			}
		default:
			rest := p[used:]
			end := bytes.IndexByte(rest, '\n')
			if f.section == inHead {
				f.headSize += len(rest[:end+1])
				if end < 0 {
					f.headSize += len(rest)
				}
			}
			if end < 0 {
				f.line = append(f.line, rest...)
				return len(p), nil
			}
			line := rest[:end]
			if len(f.line) > 0 {
				f.line = append(f.line, line...)
				line = f.line
			}
			used += end + 1
			if len(line) == 0 || line[len(line)-1] != '\r' {
				return used, errMalformed
			}
			err = f.endLine(line[:len(line)-1])
			f.line = f.line[:0]
			if err != nil {
				return used, err
			}
		}
	}
	return used, nil
}

// endLine takes one line, without its end.
func (f *framer) endLine(line []byte) error {
	switch f.section {
	case inHead:
		return f.endHeadLine(line)
	case inChunkSize:
		digits, _, _ := strings.Cut(string(line), ";")
		size, err := strconv.ParseUint(strings.TrimRight(digits, " \t"), 16, 62)
		if err != nil || digits == "" || digits[0] == '+' {
			return errMalformed
		}
		f.section, f.left = inChunkData, int64(size)
		if size == 0 {
			f.section = inTrailer
		}
	case inChunkEnd:
		if len(line) > 0 {
			return errMalformed
		}
		f.section = inChunkSize
	case inTrailer:
		if len(line) == 0 {
			f.section = complete
		}
	}
	return nil
}

func (f *framer) endHeadLine(line []byte) error {
	switch {
	case len(line) == 0 && f.lines == 0:
		return nil // net/http skips some empty lines before a request and refuses others
	case len(line) == 0:
		return f.endHead()
	case f.lines == 0:
		f.lines++
		f.http10 = !bytes.HasSuffix(line, []byte(" HTTP/1.1"))
		return nil
	case line[0] == ' ' || line[0] == '\t':
		return errMalformed
	}
	f.lines++
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.Trim(value, " \t")
	switch {
	case equalFold(name, "Content-Length"):
		size, err := strconv.ParseUint(string(value), 10, 63)
		if err != nil || f.bodySize >= 0 && f.bodySize != int64(size) {
			return errMalformed
		}
		f.bodySize = int64(size)
	case equalFold(name, "Transfer-Encoding"):
		f.hasCoding = true
		f.chunked = equalFold(value, "chunked")
	case equalFold(name, "Host"):
		f.hosts++
	case equalFold(name, "Connection"):
		for option := range strings.SplitSeq(string(value), ",") {
			option = strings.TrimSpace(option)
			f.lastOfConn = f.lastOfConn || strings.EqualFold(option, "close")
			f.keepAlive = f.keepAlive || strings.EqualFold(option, "keep-alive")
		}
	}
	return nil
}

func (f *framer) endHead() error {
	if f.hasCoding && (f.bodySize >= 0 || f.http10) {
		return errMalformed
	}
	f.lastOfConn = f.lastOfConn || f.http10 && !f.keepAlive
	switch {
	case f.chunked:
		f.section = inChunkSize
	case f.bodySize > 0:
		f.section, f.left = inBody, f.bodySize
	default:
		f.section = complete
	}
	return nil
}

func equalFold(b []byte, s string) bool { return len(b) == len(s) && strings.EqualFold(string(b), s) }
