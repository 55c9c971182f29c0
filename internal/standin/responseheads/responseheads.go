// Package responseheads lists beginnings of responses, valid and not, with which targets are
// played in tests.
package responseheads

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// repetitions is how often Respond sends a beginning that comes again and again.
const repetitions = 100_000

// Beginning is the first line of a response, or several, without the end of the last one.
type Beginning struct {
	Name, Text string
	// Valid says that callers get the response, with status 200.
	Valid bool
	// Repeated says that the text comes again and again, as the head of a response
	// without headers, before another one.
	Repeated bool
}

// Respond sends a response with a body and its length.
func (b Beginning) Respond(to io.Writer, body string) error {
	if b.Repeated {
		_, err := io.WriteString(to, strings.Repeat(b.Text+"\r\n\r\n", repetitions))
		return err
	}
	_, err := fmt.Fprintf(to, "%s\r\nContent-Length: %d\r\n\r\n%s", b.Text, len(body), body)
	return err
}

// Serve responds to requests on an address (IP:port), which it returns, until the test ends.
func (b Beginning) Serve(tb testing.TB, body string) (address string) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = l.Close() })
	serve := func(c net.Conn) {
		defer func() { _ = c.Close() }()
		for reader := bufio.NewReader(c); ; {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil || b.Respond(c, body) != nil {
				return
			}
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().String()
}

// All returns all beginnings.
func All() []Beginning { return append(StatusLines(), Fields()...) }

// StatusLines returns beginnings whose status line may be invalid.
func StatusLines() []Beginning {
	return []Beginning{
		{Name: "three zeros", Text: "HTTP/1.1 000 X"},
		{Name: "three zeros, no reason", Text: "HTTP/1.1 000"},
		{Name: "one", Text: "HTTP/1.1 001 X"},
		{Name: "zero first", Text: "HTTP/1.1 020 X"},
		{Name: "zero first, below 100", Text: "HTTP/1.1 099 X"},
		{Name: "600", Text: "HTTP/1.1 600 X"},
		{Name: "700", Text: "HTTP/1.1 700 X"},
		{Name: "999", Text: "HTTP/1.1 999 X"},
		{Name: "two digits", Text: "HTTP/1.1 20 X"},
		{Name: "four digits", Text: "HTTP/1.1 2000 X"},
		{Name: "four digits, zero first", Text: "HTTP/1.1 0200 X"},
		{Name: "plus", Text: "HTTP/1.1 +20 X"},
		{Name: "plus and three digits", Text: "HTTP/1.1 +200 X"},
		{Name: "minus", Text: "HTTP/1.1 -20 X"},
		{Name: "minus zero", Text: "HTTP/1.1 -00 X"},
		{Name: "letters", Text: "HTTP/1.1 OK X"},
		{Name: "hexadecimal", Text: "HTTP/1.1 0xC X"},
		{Name: "digits of another script", Text: "HTTP/1.1 ２ X"},
		{Name: "space in the status", Text: "HTTP/1.1 2 00 X"},
		{Name: "space before the line", Text: " HTTP/1.1 200 X"},
		{Name: "tab for a space", Text: "HTTP/1.1\t200 X"},
		{Name: "tab after the status", Text: "HTTP/1.1 200\tX"},
		{Name: "no status", Text: "HTTP/1.1"},
		{Name: "no status but a space", Text: "HTTP/1.1 "},
		{Name: "no version", Text: "200 OK"},
		{Name: "HTTP/0.9", Text: "HTTP/0.9 200 X"},
		{Name: "HTTP/1.2", Text: "HTTP/1.2 200 X"},
		{Name: "HTTP/2.0", Text: "HTTP/2.0 200 X"},
		{Name: "HTTP/2", Text: "HTTP/2 200 X"},
		{Name: "HTTP/3.0", Text: "HTTP/3.0 200 X"},
		{Name: "HTTP/1.10", Text: "HTTP/1.10 200 X"},
		{Name: "lower case", Text: "http/1.1 200 X"},
		{Name: "another protocol", Text: "RTSP/1.1 200 X"},
		{Name: "101 that nobody asked for", Text: "HTTP/1.1 101 X\r\nConnection: upgrade\r\nUpgrade: x"},
		{Name: "101 without headers", Text: "HTTP/1.1 101 X"},
		{Name: "100 without end", Text: "HTTP/1.1 100 X", Repeated: true},
		{Name: "102 without end", Text: "HTTP/1.1 102 X", Repeated: true},
		{Name: "199 without end", Text: "HTTP/1.1 199 X", Repeated: true},

		{Name: "no reason", Text: "HTTP/1.1 200", Valid: true},
		{Name: "no reason but a space", Text: "HTTP/1.1 200 ", Valid: true},
		{Name: "two spaces before the status", Text: "HTTP/1.1  200 X", Valid: true},
		{Name: "reason with spaces and digits", Text: "HTTP/1.1 200  000 X", Valid: true},
		{Name: "103 before it", Text: "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 200 X", Valid: true},
	}
}

// Fields returns beginnings whose fields may be invalid.
func Fields() []Beginning {
	const status = "HTTP/1.1 200 X\r\n"
	return []Beginning{
		{Name: "blank in a name", Text: status + "Foo Bar: x"},
		{Name: "blank before the colon", Text: status + "Foo : x"},
		{Name: "blanks before the colon", Text: status + "Foo  : x"},
		{Name: "blank before the colon of the length", Text: status + "Content-Length : 3"},
		{Name: "blank before the colon of the framing", Text: status + "Transfer-Encoding : chunked"},
		{Name: "blank for the hyphen of the length", Text: status + "Content Length: 3"},
		{Name: "blank before the colon, after other lines", Text: status + "A: b\r\nC: d\r\nFoo : x"},
		{Name: "blank before the colon, no value", Text: status + "Foo :"},
		{Name: "blank before the first name", Text: status + " Foo: x"},
		{Name: "blank for the first name", Text: status + " : x"},
		{Name: "blank in a name of a 103", Text: "HTTP/1.1 103 X\r\nFoo Bar: x\r\n\r\nHTTP/1.1 200 X"},
		{Name: "blank before the colon of a 100", Text: "HTTP/1.1 100 X\r\nContent-Length : 3\r\n\r\nHTTP/1.1 200 X"},
		{Name: "blank in a name, line feeds only", Text: "HTTP/1.1 200 X\nFoo Bar: x"},
		{Name: "tab in a name", Text: status + "Foo\tBar: x"},
		{Name: "tab before the colon", Text: status + "Foo\t: x"},
		{Name: "zero byte in a name", Text: status + "Foo\x00Bar: x"},
		{Name: "control byte in a name", Text: status + "Foo\x01Bar: x"},
		{Name: "control byte before the colon", Text: status + "Content-Length\x1f: 3"},
		{Name: "control byte at the start of a name", Text: status + "\x08Foo: x"},
		{Name: "delete in a name", Text: status + "Foo\x7f: x"},
		{Name: "carriage return in a name", Text: status + "Foo\rBar: x"},
		{Name: "carriage return before the colon", Text: status + "Foo\r: x"},
		{Name: "control byte in a name of a 103", Text: "HTTP/1.1 103 X\r\nFoo\x01: x\r\n\r\nHTTP/1.1 200 X"},
		{Name: "byte above 127 in a name", Text: status + "Foo\xe9: x"},
		{Name: "no-break space in a name", Text: status + "Foo\u00a0Bar: x"},
		{Name: "separator in a name", Text: status + "Foo(Bar): x"},
		{Name: "no name", Text: status + ": x"},
		{Name: "no colon", Text: status + "Foo"},
		{Name: "name on two lines", Text: status + "Foo\r\n Bar: x"},
		{Name: "name and colon on two lines", Text: status + "Foo\r\n : x"},
		{Name: "zero byte in a value", Text: status + "Foo: a\x00b"},
		{Name: "control byte in a value", Text: status + "Foo: a\x0bb"},
		{Name: "delete in a value", Text: status + "Foo: a\x7f"},
		{Name: "carriage return in a value", Text: status + "Foo: a\rContent-Length: 3"},
		{Name: "control byte in a folded line", Text: status + "Foo: a\r\n b\x01"},

		{Name: "all bytes of a name", Text: status + "aZ09!#$%&'*+-.^_`|~: x", Valid: true},
		{Name: "no blank before a value", Text: status + "Foo:x", Valid: true},
		{Name: "blanks and tabs around a value", Text: status + "Foo: \t x \t ", Valid: true},
		{Name: "no value", Text: status + "Foo:", Valid: true},
		{Name: "blanks and colons in a value", Text: status + "Foo: a b : c", Valid: true},
		{Name: "folded line with a colon", Text: status + "Foo: a\r\n Bar Baz: b", Valid: true},
	}
}
