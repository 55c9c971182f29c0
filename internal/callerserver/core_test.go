package callerserver

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
)

// feedAll feeds a message to a new framer in pieces of the given size and returns how many
// bytes it took.
func feedAll(data []byte, piece int) (f framer, used int, err error) {
	f = newFramer()
	for used < len(data) && !f.done() && err == nil {
		var n int
		n, err = f.feed(data[used:min(used+piece, len(data))])
		used += n
	}
	return f, used, err
}

func TestFramerFindsTheEnd(t *testing.T) {
	const next = "GET /next HTTP/1.1\r\nHost: h\r\n\r\n"
	for name, message := range map[string]string{
		"no body":          "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
		"empty lines":      "\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n",
		"length":           "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nab\ncd",
		"length 0":         "POST / HTTP/1.1\r\nHost: h\r\ncontent-length:0\r\n\r\n",
		"two lengths":      "POST / HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nab",
		"chunks":           "POST / HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n3;x=y\r\nabc\r\nA\r\n0123456789\r\n0\r\n\r\n",
		"chunks, trailers": "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1 \r\na\r\n0\r\nX: y\r\n\r\n",
	} {
		for _, piece := range []int{1, 3, 1 << 10} {
			f, used, err := feedAll([]byte(message+next), piece)
			if err != nil || !f.done() || used != len(message) {
				t.Errorf("%s in pieces of %d: %d of %d bytes, done %v, %v", name, piece, used, len(message), f.done(), err)
			}
		}
		if f, used, err := feedAll([]byte(message[:len(message)-1]), 1<<10); err != nil || f.done() || used != len(message)-1 {
			t.Errorf("%s without its last byte: done %v, %v", name, f.done(), err)
		}
	}
}

var ambiguous = map[string]string{
	"length and chunks":         "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"chunks and length":         "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
	"two lengths":               "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
	"list of lengths":           "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3, 3\r\n\r\nabc",
	"signed length":             "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\nabc",
	"bare line feed":            "GET / HTTP/1.1\r\nHost: h\nX: y\r\n\r\n",
	"bare line feed at the end": "GET / HTTP/1.1\r\nHost: h\r\n\nGET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n",
	"folded line":               "POST / HTTP/1.1\r\nHost: h\r\nContent-Length:\r\n 3\r\n\r\nabc",
	"chunks in HTTP/1.0":        "POST / HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
}

func TestFramerRefusesAmbiguity(t *testing.T) {
	for name, message := range ambiguous {
		for _, piece := range []int{1, 1 << 10} {
			if _, _, err := feedAll([]byte(message), piece); err == nil {
				t.Errorf("%s: accepted in pieces of %d", name, piece)
			}
		}
	}
}

// FuzzFramer checks that a message that the framer accepts ends where net/http's parser
// sees the end.
func FuzzFramer(f *testing.F) {
	for _, message := range ambiguous {
		f.Add([]byte(message), uint8(7))
	}
	f.Add([]byte("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\nX: y\r\n\r\nrest"), uint8(3))
	f.Add([]byte("GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nabrest"), uint8(1))
	f.Fuzz(func(t *testing.T, data []byte, piece uint8) {
		framed, used, err := feedAll(data, int(piece)+1)
		if err != nil || !framed.done() {
			return
		}
		stream := bytes.NewReader(data)
		reader := bufio.NewReader(stream)
		for {
			p, err := reader.Peek(1)
			if err != nil || p[0] != '\r' && p[0] != '\n' {
				break
			}
			_, _ = reader.Discard(1)
		}
		r, err := http.ReadRequest(reader)
		if err != nil || !r.ProtoAtLeast(1, 0) {
			return // answered with an error, after which the connection ends
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return // the same
		}
		if end := len(data) - stream.Len() - reader.Buffered(); end != used {
			t.Fatalf("%q: ends at %d, by net/http at %d", data, used, end)
		}
	})
}

func TestBudgetSharesBetweenHolders(t *testing.T) {
	for _, holders := range []int{1, 2, 9} {
		b := budget{limit: 1 << 20}
		held := make([]int64, holders)
		for grew := true; grew; {
			grew = false
			for i := range held {
				if b.allows(held[i], 1<<10) {
					held[i] += 1 << 10
					b.change(1 << 10)
					grew = true
				}
			}
		}
		for i, h := range held {
			if part := int64(1<<20) / int64(holders+1); h < part-2<<10 || h > part+2<<10 {
				t.Errorf("%d holders: holder %d has %d, a fair part is %d", holders, i, h, part)
			}
		}
		if !b.allows(0, 1<<10) {
			t.Errorf("%d holders leave nothing for another one", holders)
		}
		b.change(-held[0])
		if holders > 1 && !b.allows(held[1], held[0]/4) {
			t.Errorf("what a holder gave back is not lent")
		}
	}
}

func TestOrder(t *testing.T) {
	// Each step is a request that starts if it may (s: concurrent, u: exclusive), or the
	// answer to the first of those running (a: the connection stays open, l: it is closed).
	// Requests that find none running are served in their turn and always start.
	for _, test := range []struct{ steps, started string }{
		{"sss", "sss"},
		{"su", "s"},
		{"suas", "ss"},
		{"us", "u"},
		{"uas", "us"},
		{"ssasas", "ssss"},
		{"ssls", "ss"},
		{strings.Repeat("s", 6), "ssss"},
	} {
		var o order
		var started string
		for _, step := range test.steps {
			kind := exclusive
			switch step {
			case 'a', 'l':
				o.answered(step == 'l')
				continue
			case 's':
				kind = concurrent
			}
			if o.running == 0 || o.mayStartAhead(kind, 4) {
				o.start(kind)
				started += string(step)
			}
		}
		if started != test.started {
			t.Errorf("%s: started %s, want %s", test.steps, started, test.started)
		}
	}
}
